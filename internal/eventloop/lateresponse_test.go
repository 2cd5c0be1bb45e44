package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// The rest of a response without a length is awaited after the deadline. The guard against a faulty balancer must not
// end the request before that time has passed, must end it then, and must give late requests of a shutdown no such time.
func TestGuardAllowsLateResponseOfUnknownLength(t *testing.T) {
	for name, test := range map[string]struct {
		lengthUnknown, lateInShutdown bool
		grace                         balance.Milliseconds
	}{
		"length unknown":              {true, false, balance.LateResponseGrace},
		"length declared":             {false, false, 0},
		"length unknown, in shutdown": {true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t)
			req := newOpenRequest(l)
			req.lateInShutdown = test.lateInShutdown
			attempt := addAttempt(l, req)
			l.startDeadline(req, time.Now())
			responseStarted{attempt, upstream.StartedResponse{At: time.Now(), LengthUnknown: test.lengthUnknown}}.apply(l)
			responses := req.exchange.Responses
			expectExpiry(t, l, req, responses, req.deadline+test.grace)
		})
	}
}

// expectExpiry checks that the timers of a request end it at the given time or a little later.
func expectExpiry(t *testing.T, l *Loop, req *request, responses chan *exchange.Response, at balance.Milliseconds) {
	t.Helper()
	for l.clock.now = req.deadline; l.clock.now < at; l.clock.now += deadlineSlack {
		if l.fireTimers(); len(responses) != 0 {
			t.Fatalf("got a response %v ms before its time is over", at-l.clock.now)
		}
	}
	l.clock.now = at + 2*deadlineSlack
	if l.fireTimers(); len(responses) != 1 {
		t.Errorf("got %d responses after the time is over, want 1", len(responses))
	}
}
