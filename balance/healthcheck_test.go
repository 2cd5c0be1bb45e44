package balance

import (
	"fmt"
	"testing"
)

// Unreachable endpoints are ejected, so that they are not health-checked for each request. After the ejection, they
// are used again if they respond.
func TestUnreachableEndpointsAreEjectedAndRecover(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	unreachable := map[EndpointID]bool{1: true, 2: true}
	for i := range 4 {
		id, actions := h.request(idempotentClass)
		if checked := len(actions) - 1; i > 0 && checked > 1 {
			t.Fatalf("request %d: %d endpoints checked while two are ejected, want 1 at most", id, checked)
		}
		if target, ok := sendTarget(h.answerHealthChecks(actions, 0, unreachable)); !ok || target != 3 {
			t.Fatalf("request %d went to endpoint %d (sent: %v), want 3", id, target, ok)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now += 10000 // the ejection is over, and the endpoints respond again
	used := map[EndpointID]bool{}
	for range 6 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(h.answerHealthChecks(actions, 0, nil))
		used[target] = true
		h.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("got used endpoints %v after endpoints 1 and 2 recovered, want both", used)
	}
}

// An endpoint that reports many requests in flight is avoided although it is next in the rotation: an instance with
// little traffic cannot know from its own requests how much load the other instances cause.
func TestPolledQueueIsAvoided(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	h.b.endpoints.list[0].rotation.credit = 1000 // next in the rotation
	id, actions := h.request(idempotentClass)
	if hasAction(actions, SendAttempt) {
		t.Fatalf("got actions %+v before the results of the health checks, want no attempt", actions)
	}
	h.dispatch(HealthCheckResult{Endpoint: 1, LoadReport: []float32{5}})
	h.dispatch(HealthCheckResult{Endpoint: 2, LoadReport: []float32{0}})
	target, ok := sendTarget(h.dispatch(HealthCheckResult{Endpoint: 3, LoadReport: []float32{4}}))
	if !ok || target != 2 {
		t.Fatalf("request %d went to endpoint %d (sent: %v), want the idle endpoint 2", id, target, ok)
	}
}

// A first attempt waits for load reports only for a small fraction of the latency objective. Then it is sent without
// them.
func TestRequestDoesNotWaitLongForHealthChecks(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	id, _ := h.request(idempotentClass)
	h.now = h.b.requests[id].nextTimerAt
	if actions := h.dispatch(TimerFired{Token: uint64(id)}); !hasAction(actions, SendAttempt) || h.now > 1000+0.1*300 {
		t.Fatalf("got actions %+v at %v ms, want an attempt at %v ms at most", actions, h.now, 1000+0.1*300)
	}
}

// Health checks have a cost, so only a few endpoints are checked when they are idle, and all when they are busy.
func TestMoreEndpointsAreCheckedUnderLoad(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
	checksPerRequest := func(inFlight float32) int {
		checks := 0
		for range 60 {
			h.now += 10
			id, actions := h.request(idempotentClass)
			checks = 0
			for _, a := range actions {
				if a.Kind == CheckHealth {
					checks++
				}
			}
			h.answerHealthChecks(actions, inFlight, nil)
			h.finishAttempt(id, 0, OK, 10)
		}
		return checks
	}
	idle := checksPerRequest(0)
	if busy := checksPerRequest(1); idle > 3 || busy != 12 {
		t.Fatalf("%d endpoints checked when all are idle, %d when all are busy: want 3 at most and 12", idle, busy)
	}
}

// A failed health check ejects its endpoint only after a timeout or a failure to connect. A health check that was
// not sent, for lack of a local socket, says nothing about the endpoint, and a reset connection says little:
// otherwise many resets would eject most of the fleet.
func TestFailedHealthCheckEjectsOnlyUnreachableEndpoint(t *testing.T) {
	for result, wantEjected := range map[Result]bool{
		NotAttempted: false, ConnReset: false, TimedOut: true, ConnectFailed: true,
	} {
		t.Run(fmt.Sprintf("result %d", result), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
			if _, actions := h.request(idempotentClass); !hasAction(actions, CheckHealth) {
				t.Fatalf("got actions %+v, want a health check", actions)
			}
			h.dispatch(HealthCheckResult{Endpoint: 1, Result: result, Duration: 1})
			if got := h.b.ejected(h.b.endpoints.byID[1]); got != wantEjected {
				t.Errorf("result %d: got ejected %v, want %v", result, got, wantEjected)
			}
		})
	}
}

// A single lost health check must neither block nor eject an endpoint that responds to requests in the meantime: a
// response that arrives after the result of the health check was due shows that the endpoint is reachable.
func TestLostHealthCheckDoesNotBlockEndpoint(t *testing.T) {
	for _, responseSeen := range []bool{true, false} {
		t.Run(fmt.Sprintf("response seen %v", responseSeen), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
			first, _ := h.request(idempotentClass)
			h.dispatch(HealthCheckResult{Endpoint: 1, Duration: 1, LoadReport: []float32{0}})
			actions := h.dispatch(HealthCheckResult{Endpoint: 2, Duration: 1, LoadReport: []float32{0}})
			target, sent := sendTarget(actions)
			if !sent {
				t.Fatal("no attempt was sent after the load reports")
			}
			h.now += 10
			h.request(idempotentClass) // the result of its health check is lost
			checkSentAt := h.now
			h.now += 60
			if responseSeen {
				h.finishAttempt(first, 0, OK, 70)
			}
			_, actions = h.request(idempotentClass)
			checkedAgain := false
			for _, a := range actions {
				checkedAgain = checkedAgain || a.Kind == CheckHealth && a.Endpoint == target
			}
			if checkedAgain != responseSeen {
				t.Errorf("response seen %v: got checked again %v, want %v", responseSeen, checkedAgain, responseSeen)
			}
			h.now += 290
			h.dispatch(HealthCheckResult{Endpoint: target, Result: TimedOut, Duration: h.now - checkSentAt})
			if got := h.b.ejected(h.b.endpoints.byID[target]); got == responseSeen {
				t.Errorf("response seen %v: got ejected %v, want %v", responseSeen, got, !responseSeen)
			}
		})
	}
}

// An endpoint whose last health check failed counts as unavailable even after its ejection, because its next health
// check would probably fail, too.
func TestUnresponsiveEndpointIsCountedUnavailable(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
	h.request(idempotentClass)
	h.dispatch(HealthCheckResult{Endpoint: 2, Duration: 1, LoadReport: []float32{0}})
	h.now += 350
	h.dispatch(HealthCheckResult{Endpoint: 1, Result: TimedOut, Duration: 350})
	for _, later := range []Milliseconds{0, 100000} { // during its ejection, and long after it
		if got := h.b.UnavailableCount(h.now + later); got != 1 {
			t.Errorf("%v ms after the failed health check: got %d unavailable endpoints, want 1", later, got)
		}
	}
	h.dispatch(HealthCheckResult{Endpoint: 1, Duration: 1, LoadReport: []float32{0}})
	if got := h.b.UnavailableCount(h.now); got != 0 {
		t.Errorf("got %d unavailable endpoints when both respond, want 0", got)
	}
}

// A load report that arrives with a response describes only one endpoint. That endpoint must not get all requests,
// as it would if only its load counted as comparable.
func TestPiggybackedReportDoesNotAttractAllRequests(t *testing.T) {
	cfg := baseConfig()
	cfg.LoadReports, cfg.LoadReportFields = LoadReportsPiggybacked, []LoadField{LoadFieldInFlight}
	h := newHarness(t, cfg, newEndpoints(4)...)
	requests := map[EndpointID]int{}
	for range 40 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(actions)
		requests[target]++
		h.now += 5
		h.dispatch(Outcome{Request: id, Endpoint: target, Duration: 5, Finished: true, LoadReport: []float32{3}})
	}
	for target, n := range requests {
		if n > 15 {
			t.Errorf("endpoint %d got %d of 40 requests, want 15 at most", target, n)
		}
	}
}
