package balance

import (
	"fmt"
	"testing"
)

// Unreachable endpoints are ejected, so that they are not checked again for each request, and are used again
// once they respond after the ejection.
func TestUnreachableEndpointsAreEjectedAndRecover(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	unreachable := map[EndpointID]bool{1: true, 2: true}
	for i := range 4 {
		id, actions := h.request(idempotentClass)
		if checked := len(actions) - 1; i > 0 && checked > 1 {
			t.Fatalf("request %d: %d endpoints checked though two are unreachable", id, checked)
		}
		if target, ok := sendTarget(h.answerHealthChecks(actions, 0, unreachable)); !ok || target != 3 {
			t.Fatalf("request %d went to %d", id, target)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now += 10000 // their ejection is over and they respond again
	used := map[EndpointID]bool{}
	for range 6 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(h.answerHealthChecks(actions, 0, nil))
		used[target] = true
		h.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they recovered", used)
	}
}

// An endpoint that reports a long queue is avoided although it is next in the rotation: an instance with
// little traffic cannot know from its own requests what others send.
func TestPolledQueueIsAvoided(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	h.b.endpoints.list[0].rotation.value = 1000 // next in the rotation
	id, actions := h.request(idempotentClass)
	if hasAction(actions, SendAttempt) {
		t.Fatal("sent before the health checks were completed")
	}
	h.dispatch(HealthCheckResult{Endpoint: 1, LoadReport: []float32{5}})
	h.dispatch(HealthCheckResult{Endpoint: 2, LoadReport: []float32{0}})
	if target, ok := sendTarget(h.dispatch(HealthCheckResult{Endpoint: 3, LoadReport: []float32{4}})); !ok || target != 2 {
		t.Fatalf("request %d went to %d, want the idle endpoint", id, target)
	}
}

// A request waits for the reports of endpoints for a small part of its latency objective only, and is sent
// without them then.
func TestRequestDoesNotWaitLongForHealthChecks(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	id, _ := h.request(idempotentClass)
	h.now = h.b.requests[id].nextTimerAt
	if actions := h.dispatch(TimerFired{Token: uint64(id)}); !hasAction(actions, SendAttempt) || h.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", h.now, actions)
	}
}

// Health checks have a cost: with idle endpoints a few are checked, with busy ones all of them.
func TestHealthChecksScaleWithLoad(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
	checksAtLoad := func(inFlight float32) int {
		n := 0
		for range 60 {
			h.now += 10
			id, actions := h.request(idempotentClass)
			n = 0
			for _, a := range actions {
				if a.Kind == CheckHealth {
					n++
				}
			}
			h.answerHealthChecks(actions, inFlight, nil)
			h.finishAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := checksAtLoad(0)
	if busy := checksAtLoad(1); idle > 3 || busy != 12 {
		t.Fatalf("%d endpoints checked when all are idle, %d when all are busy", idle, busy)
	}
}

// A health check that was never sent, for lack of a local socket, says nothing of the endpoint, and a reset
// connection hardly more. Only a timeout or a failure to connect ejects the endpoint; otherwise many resets
// would eject most of the fleet.
func TestFailedHealthCheckEjectsOnlyUnreachableEndpoint(t *testing.T) {
	for result, ejects := range map[Result]bool{NotAttempted: false, ConnReset: false, TimedOut: true, ConnectFailed: true} {
		t.Run(fmt.Sprintf("result %d", result), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
			if _, actions := h.request(idempotentClass); !hasAction(actions, CheckHealth) {
				t.Fatal("no endpoint is checked")
			}
			h.dispatch(HealthCheckResult{Endpoint: 1, Result: result, Duration: 1})
			if got := h.b.ejected(h.b.endpoints.byID[1]); got != ejects {
				t.Errorf("result %d: ejected: %v", result, got)
			}
		})
	}
}

// A single lost health check must not block or eject an endpoint that responds to requests meanwhile: a
// response after the report was due shows that the endpoint is reachable.
func TestLostHealthCheckDoesNotBlockEndpoint(t *testing.T) {
	for _, responseSeen := range []bool{true, false} {
		t.Run(fmt.Sprintf("response seen %v", responseSeen), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
			first, _ := h.request(idempotentClass)
			h.dispatch(HealthCheckResult{Endpoint: 1, Duration: 1, LoadReport: []float32{0}})
			at, sent := sendTarget(h.dispatch(HealthCheckResult{Endpoint: 2, Duration: 1, LoadReport: []float32{0}}))
			if !sent {
				t.Fatal("nothing is sent after the reports")
			}
			h.now += 10
			h.request(idempotentClass) // its health check of the endpoint is lost
			lost := h.now
			h.now += 60
			if responseSeen {
				h.finishAttempt(first, 0, OK, 70)
			}
			_, actions := h.request(idempotentClass)
			again := false
			for _, a := range actions {
				again = again || a.Kind == CheckHealth && a.Endpoint == at
			}
			if again != responseSeen {
				t.Errorf("response seen: %v, checked again: %v", responseSeen, again)
			}
			h.now += 290
			h.dispatch(HealthCheckResult{Endpoint: at, Result: TimedOut, Duration: h.now - lost})
			if got := h.b.ejected(h.b.endpoints.byID[at]); got == responseSeen {
				t.Errorf("response seen: %v, ejected: %v", responseSeen, got)
			}
		})
	}
}

// An endpoint that does not respond to health checks is counted as unavailable between its ejections as well,
// as its next health check would be lost too.
func TestUnresponsiveEndpointIsCountedUnavailable(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
	h.request(idempotentClass)
	h.dispatch(HealthCheckResult{Endpoint: 2, Duration: 1, LoadReport: []float32{0}})
	h.now += 350
	h.dispatch(HealthCheckResult{Endpoint: 1, Result: TimedOut, Duration: 350})
	for _, later := range []Milliseconds{0, 100000} { // during its ejection, and long after it
		if got := h.b.UnavailableCount(h.now + later); got != 1 {
			t.Errorf("%v ms later %d endpoints are unavailable", later, got)
		}
	}
	h.dispatch(HealthCheckResult{Endpoint: 1, Duration: 1, LoadReport: []float32{0}})
	if got := h.b.UnavailableCount(h.now); got != 0 {
		t.Errorf("%d are unavailable when both respond", got)
	}
}

// A load report that comes with a response describes one endpoint only. That endpoint must not get all
// requests for being the only one with known load.
func TestPiggybackedReportDoesNotAttractAllRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportsPiggybacked, []LoadField{LoadFieldInFlight}
	h := newHarness(t, cfg, newEndpoints(4)...)
	hits := map[EndpointID]int{}
	for range 40 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(actions)
		hits[target]++
		h.now += 5
		h.dispatch(Outcome{Request: id, Endpoint: target, Duration: 5, Finished: true, LoadReport: []float32{3}})
	}
	for target, n := range hits {
		if n > 15 {
			t.Errorf("endpoint %d got %d of 40", target, n)
		}
	}
}
