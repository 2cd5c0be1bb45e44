package soak

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// Exchange is a request that a client of a sidecar sent on one connection.
type Exchange struct {
	standin.Exchange
	Sidecar SidecarID
}

// Attempt is a request that an endpoint received.
type Attempt struct {
	standin.Attempt
	Endpoint EndpointID
}

// Notification is a change of an endpoint's state that discovery delivered to a sidecar.
type Notification struct {
	Sidecar    SidecarID
	Endpoint   EndpointID
	State      balance.EndpointState
	ReadableAt time.Time // when the sidecar could read it at the earliest
	NotifiedAt time.Time // when the sidecar counts as notified of it
}

// Incarnation is the time of one process of a sidecar.
type Incarnation struct {
	Sidecar       SidecarID
	StartedAt     time.Time // before the process was started
	TermAt        time.Time // zero: no SIGTERM
	KilledAt      time.Time // zero: no SIGKILL
	EndedAt       time.Time // zero: it runs
	NotifiedAfter time.Time // it does not count as notified of anything before; zero: from StartedAt on
	Crash         error     // why it ended by itself, or with an error after SIGTERM
}

// IncompleteConn is a connection of a client that sent no complete request.
type IncompleteConn struct {
	Sidecar  SidecarID
	OpenedAt time.Time
	EndedAt  time.Time // when a response or the end came; zero: neither within incompleteConnWait
}

// Records are what the activities of a run have seen.
type Records struct {
	Plan            *Plan
	BeganAt         time.Time // the start of the traffic
	Exchanges       []Exchange
	Attempts        []Attempt
	Notifications   []Notification
	Incarnations    []Incarnation
	IncompleteConns []IncompleteConn
	Cells           map[EndpointID]int
	RestartedAt     map[EndpointID]time.Time // when an endpoint came back, which then warms up
	StartErrs       []error                  // of processes that were not ready in time, and of servers
	LogLines        func(text string) []string
}

// addNotifications adds what the current discovery agent of a sidecar has delivered.
func (r *Records) addNotifications(sidecar *sidecar) {
	for _, change := range sidecar.discovery.Changes() {
		r.Notifications = append(r.Notifications, Notification{
			Sidecar: sidecar.id, Endpoint: EndpointID(change.EndpointID), State: change.State,
			ReadableAt: change.ReadableAt, NotifiedAt: change.NotifiedAt,
		})
	}
}

// addExchanges adds the requests of a sidecar's client.
func (r *Records) addExchanges(sidecar *sidecar) {
	for _, exchange := range sidecar.client.Exchanges() {
		r.Exchanges = append(r.Exchanges, Exchange{Exchange: exchange, Sidecar: sidecar.id})
	}
}

// addAttempts adds the requests that all incarnations of an endpoint received.
func (r *Records) addAttempts(endpoint *endpoint) {
	for _, attempts := range [][]standin.Attempt{endpoint.formerAttempts, endpoint.server.Attempts()} {
		for _, attempt := range attempts {
			r.Attempts = append(r.Attempts, Attempt{Attempt: attempt, Endpoint: endpoint.id})
		}
	}
}
