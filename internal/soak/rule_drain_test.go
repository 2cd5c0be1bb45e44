package soak

import (
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// TestLastChangeOfOneMomentHolds checks that an endpoint may be used which a new discovery agent lists as gone and ready again
// at one moment, and only if ready comes last.
func TestLastChangeOfOneMomentHolds(t *testing.T) {
	began := time.Now()
	at := began.Add(time.Second)
	for _, test := range []struct {
		states []balance.EndpointState
		broken bool
	}{
		{[]balance.EndpointState{balance.Gone, balance.Ready}, false}, {[]balance.EndpointState{balance.Ready, balance.Gone}, true},
	} {
		records := &Records{Plan: &Plan{Settings: defaultSettings(), TrafficDuration: time.Second, Endpoints: 1}, BeganAt: began}
		for i := range 40 { // so many, and in no order, that an unstable sort mixes them
			records.Notifications = append(records.Notifications, Notification{
				Sidecar: "n1", Endpoint: "s-0", State: balance.Ready, ReadableAt: at,
				NotifiedAt: at.Add(time.Duration(i*7919%41-20) * time.Millisecond),
			})
			for _, state := range test.states {
				records.Notifications = append(records.Notifications, Notification{Sidecar: "n0", Endpoint: "s-0", State: state, ReadableAt: at, NotifiedAt: at})
			}
		}
		records.addServedRequest("n0", "s-0", at.Add(time.Second))
		if broken := len(Judge(records)) > 0; broken != test.broken {
			t.Errorf("%v: broken %v, want %v", test.states, broken, test.broken)
		}
	}
}

// TestEndpointIsReadyOnceThatIsReadable checks that an endpoint may be used from the moment at which a new discovery agent lists
// it as ready, although the sidecar counts as notified only later.
func TestEndpointIsReadyOnceThatIsReadable(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	for _, test := range []struct {
		sent   time.Time
		broken bool
	}{
		{at(2 * time.Second), true}, {at(4 * time.Second), false},
	} {
		records := &Records{Plan: &Plan{Settings: defaultSettings(), TrafficDuration: time.Second, Endpoints: 1}, BeganAt: began}
		records.Notifications = []Notification{
			{Sidecar: "n0", Endpoint: "s-0", State: balance.Gone, ReadableAt: at(time.Second), NotifiedAt: at(time.Second)},
			{Sidecar: "n0", Endpoint: "s-0", State: balance.Ready, ReadableAt: at(3 * time.Second), NotifiedAt: at(7 * time.Second)},
		}
		records.addServedRequest("n0", "s-0", test.sent)
		if broken := len(Judge(records)) > 0; broken != test.broken {
			t.Errorf("sent %v after the beginning: broken %v, want %v", test.sent.Sub(began), broken, test.broken)
		}
	}
}

// addServedRequest adds a request that a client sends and an endpoint serves at one moment.
func (r *Records) addServedRequest(sidecar SidecarID, endpoint EndpointID, at time.Time) {
	request := standin.Request{TraceID: "n0.1.x", Deadline: time.Second}
	exchange := standin.Exchange{Request: request, BeganAt: at, SentAt: at, EndedAt: at, Status: http.StatusOK}
	attempt := standin.Attempt{TraceID: request.TraceID, FirstByteAt: at, LastByteAt: at, EndedAt: at, End: standin.AttemptServed}
	r.Exchanges = append(r.Exchanges, Exchange{Exchange: exchange, Sidecar: sidecar})
	r.Attempts = append(r.Attempts, Attempt{Attempt: attempt, Endpoint: endpoint})
}
