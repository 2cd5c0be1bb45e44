package soak

import (
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// TestLastOfSimultaneousChangesDecides checks that the last of several changes with the same time decides. An endpoint
// that a new discovery agent lists as gone and as ready at the same time may be used only if ready was listed last.
func TestLastOfSimultaneousChangesDecides(t *testing.T) {
	began := time.Now()
	at := began.Add(time.Second)
	for _, test := range []struct {
		states        []balance.EndpointState // in the order of their delivery
		wantViolation bool
	}{
		{[]balance.EndpointState{balance.Gone, balance.Ready}, false},
		{[]balance.EndpointState{balance.Ready, balance.Gone}, true},
	} {
		plan := &Plan{Settings: defaultSettings(), TrafficDuration: time.Second, Endpoints: 1}
		records := &Records{Plan: plan, BeganAt: began}
		for i := range 40 { // enough unsorted notifications that an unstable sort would reorder equal times
			records.Notifications = append(records.Notifications, Notification{
				Sidecar: "n1", Endpoint: "s-0", State: balance.Ready, ReadableAt: at,
				NotifiedAt: at.Add(time.Duration(i*7919%41-20) * time.Millisecond),
			})
			for _, state := range test.states {
				records.Notifications = append(records.Notifications, Notification{
					Sidecar: "n0", Endpoint: "s-0", State: state, ReadableAt: at, NotifiedAt: at,
				})
			}
		}
		records.addServedRequest("n0", "s-0", at.Add(time.Second))
		if got := len(Judge(records)) > 0; got != test.wantViolation {
			t.Errorf("states %v: got violation %v, want %v", test.states, got, test.wantViolation)
		}
	}
}

// TestEndpointMayBeUsedOnceListedReady checks that a sidecar may use an endpoint as soon as a new discovery agent
// lists it as ready, although the sidecar counts as notified only later.
func TestEndpointMayBeUsedOnceListedReady(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	for _, test := range []struct {
		sentAt        time.Time
		wantViolation bool
	}{
		{at(2 * time.Second), true}, {at(4 * time.Second), false},
	} {
		plan := &Plan{Settings: defaultSettings(), TrafficDuration: time.Second, Endpoints: 1}
		records := &Records{Plan: plan, BeganAt: began}
		records.Notifications = []Notification{
			{
				Sidecar: "n0", Endpoint: "s-0", State: balance.Gone,
				ReadableAt: at(time.Second), NotifiedAt: at(time.Second),
			},
			{
				Sidecar: "n0", Endpoint: "s-0", State: balance.Ready,
				ReadableAt: at(3 * time.Second), NotifiedAt: at(7 * time.Second),
			},
		}
		records.addServedRequest("n0", "s-0", test.sentAt)
		if got := len(Judge(records)) > 0; got != test.wantViolation {
			t.Errorf("request sent %v after the start: got violation %v, want %v",
				test.sentAt.Sub(began), got, test.wantViolation)
		}
	}
}

// addServedRequest adds the exchange and the attempt of a request that is sent and served at the given time.
func (r *Records) addServedRequest(sidecar SidecarID, endpoint EndpointID, at time.Time) {
	request := standin.Request{TraceID: "n0.1.x", Deadline: time.Second}
	exchange := standin.Exchange{Request: request, BeganAt: at, SentAt: at, EndedAt: at, Status: http.StatusOK}
	attempt := standin.Attempt{
		TraceID: request.TraceID, FirstByteAt: at, LastByteAt: at, EndedAt: at, Outcome: standin.AttemptServed,
	}
	r.Exchanges = append(r.Exchanges, Exchange{Exchange: exchange, Sidecar: sidecar})
	r.Attempts = append(r.Attempts, Attempt{Attempt: attempt, Endpoint: endpoint})
}
