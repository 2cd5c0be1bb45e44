package soak

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// Exchange is a request that a client sent to a sidecar on one connection.
type Exchange struct {
	standin.Exchange
	Sidecar SidecarID
}

// Attempt is a request that an endpoint received from a sidecar.
type Attempt struct {
	standin.Attempt
	Endpoint EndpointID
}

// Notification is a change of an endpoint's state that discovery delivered to a sidecar.
type Notification struct {
	Sidecar    SidecarID
	Endpoint   EndpointID
	State      balance.EndpointState
	ReadableAt time.Time // the earliest time at which the sidecar could read the change
	NotifiedAt time.Time // when the sidecar counts as notified and must act on the change
}

// Incarnation records the lifetime of one process of a sidecar.
type Incarnation struct {
	Sidecar       SidecarID
	StartedAt     time.Time // taken just before the start of the process
	TermAt        time.Time // when SIGTERM was sent; zero if it was not
	KilledAt      time.Time // when SIGKILL was sent; zero if it was not
	EndedAt       time.Time // zero if the process is still running
	NotifiedAfter time.Time // the earliest time at which the process counts as notified of a change; zero for StartedAt
	Crash         error     // why the process ended without a signal, or its error exit after SIGTERM; nil if neither
}

// IncompleteConn is a connection on which a client did not send a complete request.
type IncompleteConn struct {
	Sidecar  SidecarID
	OpenedAt time.Time
	EndedAt  time.Time // when a response or the close arrived; zero if neither did within incompleteConnWait
}

// Records holds what the clients, the endpoints and the discovery agents of a run observed.
type Records struct {
	Plan            *Plan
	BeganAt         time.Time // the start of the traffic
	Exchanges       []Exchange
	Attempts        []Attempt
	Notifications   []Notification
	Incarnations    []Incarnation
	IncompleteConns []IncompleteConn
	Cells           map[EndpointID]int         // the number of each endpoint's cell
	RestartedAt     map[EndpointID]time.Time   // when an endpoint restarted, which begins its slow start
	StartErrs       []error                    // from processes that did not become ready in time, and from servers
	LogLines        func(text string) []string // returns the lines of the sidecars' logs that contain text
}

// addNotifications adds the changes that the current discovery agent of a sidecar has delivered.
func (r *Records) addNotifications(sidecar *sidecar) {
	for _, change := range sidecar.discovery.Changes() {
		r.Notifications = append(r.Notifications, Notification{
			Sidecar: sidecar.id, Endpoint: EndpointID(change.EndpointID), State: change.State,
			ReadableAt: change.ReadableAt, NotifiedAt: change.NotifiedAt,
		})
	}
}

// addExchanges adds the exchanges of a sidecar's client.
func (r *Records) addExchanges(sidecar *sidecar) {
	for _, exchange := range sidecar.client.Exchanges() {
		r.Exchanges = append(r.Exchanges, Exchange{Exchange: exchange, Sidecar: sidecar.id})
	}
}

// addAttempts adds the attempts that all incarnations of an endpoint received.
func (r *Records) addAttempts(endpoint *endpoint) {
	for _, attempts := range [][]standin.Attempt{endpoint.formerAttempts, endpoint.server.Attempts()} {
		for _, attempt := range attempts {
			r.Attempts = append(r.Attempts, Attempt{Attempt: attempt, Endpoint: endpoint.id})
		}
	}
}
