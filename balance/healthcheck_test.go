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

// A first attempt waits for load reports only until they are due, and no longer than an attempt can still be answered
// before the client gives up. Then it is sent without them.
func TestRequestDoesNotWaitLongForHealthChecks(t *testing.T) {
	const latency = 20
	for _, test := range []struct {
		name                string
		duration, remaining Milliseconds // of earlier health checks, 0: none; until the client gives up
		maxWait             Milliseconds
	}{
		{"no earlier health checks", 0, 1500, 30},
		{"fast health checks", 1, 1500, 10},
		{"slow health checks", 100, 1500, 100},
		{"slow health checks, little time", 100, 60, 60 - latency},
		{"too little time", 100, 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
			for range 10 {
				if test.duration == 0 {
					break
				}
				id, actions := h.request(idempotentClass)
				for _, a := range actions {
					if a.Kind == CheckHealth {
						result := HealthCheckResult{Endpoint: a.Endpoint, Duration: test.duration, LoadReport: []float32{0}}
						h.dispatch(result)
					}
				}
				h.now = max(h.now, h.b.requests[id].nextTimerAt)
				h.dispatch(TimerFired{Token: uint64(id)})
				h.finishAttempt(id, 0, OK, latency)
			}
			const id = 77
			start := h.now
			actions := h.dispatch(Request{ID: id, Class: idempotentClass, Remaining: test.remaining})
			for !hasAction(actions, SendAttempt) && h.now < start+1500 {
				h.now = h.b.requests[id].nextTimerAt
				actions = h.dispatch(TimerFired{Token: id})
			}
			if waited := h.now - start; !hasAction(actions, SendAttempt) || waited > test.maxWait {
				t.Errorf("got actions %+v after %v ms, want an attempt after %v ms at most", actions, waited, test.maxWait)
			}
		})
	}
}

// In a large fleet whose endpoints cache by key, only the sticky endpoints of a key are health-checked for its
// requests. Other endpoints would not get the attempt, or would have to do more work for it.
func TestStickyEndpointsAreChecked(t *testing.T) {
	cfg := largeFleetConfig(0, 3)
	cfg.HealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportsPolled, []LoadField{LoadFieldInFlight}
	h := newHarness(t, cfg, newZonedEndpoints(60)...)
	checked, sent := map[EndpointID]int{}, map[EndpointID]int{}
	for i := range uint64(400) {
		h.lastRequest++
		id, key := h.lastRequest, i%20
		actions := h.dispatch(Request{ID: id, Class: idempotentClass, StickyKey: 1 + key, Remaining: 1500})
		target, _ := sendTarget(h.answerHealthChecks(actions, 1, nil))
		for _, a := range actions {
			if key == 0 && a.Kind == CheckHealth {
				checked[a.Endpoint]++
			}
		}
		if key == 0 {
			sent[target]++
		}
		h.now += 100
		h.finishAttempt(id, 0, OK, 5)
	}
	const maxEndpoints = 0.05 * 60 / maxKeyFraction // the key has a twentieth of the requests
	if len(checked) > maxEndpoints || len(sent) > maxEndpoints {
		t.Errorf("got %d endpoints checked and %d with attempts for one key, want its few sticky endpoints",
			len(checked), len(sent))
	}
}

// Health checks load the endpoints, so only a few are checked when they are idle, and more when they are busy.
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
