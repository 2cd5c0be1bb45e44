package balance

import (
	"math"
	"testing"
)

// An endpoint with several consecutive errors is ejected, gets no requests while it is, and is used again after
// the ejection. A success clears its errors.
func TestConsecutiveErrorsEjectEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	ep := h.b.endpoints.list[0]
	for range errorsToEject - 1 {
		h.b.recordError(ep, attemptError)
	}
	if h.b.ejected(ep) {
		t.Fatalf("the endpoint is ejected after %d errors, want %d", errorsToEject-1, errorsToEject)
	}
	h.b.recordError(ep, attemptError)
	if !h.b.ejected(ep) {
		t.Fatalf("the endpoint is not ejected after %d errors", errorsToEject)
	}
	for range 12 {
		id, actions := h.request(idempotentClass)
		if target, _ := sendTarget(actions); target == ep.ID {
			t.Fatalf("endpoint %d got a request while ejected", ep.ID)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now = ep.outlier.ejectedUntil
	for range 12 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(actions)
		h.finishAttempt(id, 0, OK, 10)
		if target == ep.ID && ep.outlier.ejectedUntil == 0 && ep.outlier.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatalf("after the ejection, endpoint %d got none of 12 requests, or its success did not clear its errors: %+v",
		ep.ID, ep.outlier)
}

// When all endpoints are ejected, the cause is probably not in the endpoints, and requests are still sent.
func TestAllEjectedEndpointsAreUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, ep := range h.b.endpoints.list {
		h.b.recordError(ep, connectError)
	}
	if _, actions := h.request(idempotentClass); !hasAction(actions, SendAttempt) {
		t.Fatalf("got actions %+v, want an attempt", actions)
	}
}

// A restart of an endpoint clears its ejections and its failed health check, because they concern the old
// process.
func TestRestartClearsErrorsAndEjection(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	ep := h.b.endpoints.list[0]
	h.dispatch(HealthCheckResult{Endpoint: ep.ID, Result: TimedOut})
	if !ep.outlier.healthCheckFailed || !h.b.ejected(ep) {
		t.Fatal("a health check that timed out does not eject the endpoint")
	}
	entry := ep.Endpoint
	entry.StartedAt = h.now
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry}})
	if ep.outlier.healthCheckFailed || ep.outlier.consecutiveEjections != 0 || h.b.ejected(ep) {
		t.Fatalf("after the restart: health check failed: %v, %d ejections, ejected: %v; want false, 0, false",
			ep.outlier.healthCheckFailed, ep.outlier.consecutiveEjections, h.b.ejected(ep))
	}
}

// A client whose timeout is shorter than the usual latency ends its request early, which is not an error of the
// endpoint. When such timeouts counted as errors, a few of these clients caused healthy endpoints to be ejected.
func TestShortClientDeadlineIsNoEndpointError(t *testing.T) {
	cfg := baseConfig()
	cfg.ClientRetriesMarked = true
	h := newHarness(t, cfg, newEndpoints(2)...)
	for range 8 {
		id, _ := h.request(idempotentClass)
		h.finishAttempt(id, 0, OK, 30)
	}
	for range 4 * errorsToEject {
		h.lastRequest++
		_, sent := sendTarget(h.dispatch(Request{ID: h.lastRequest, Class: idempotentClass, Remaining: 10}))
		if !sent {
			t.Fatalf("request %d was not sent", h.lastRequest)
		}
		h.now += 10
		h.finishAttempt(h.lastRequest, 0, TimedOut, 10)
	}
	for _, ep := range h.b.endpoints.list {
		if h.health(ep) < 1 || h.b.ejected(ep) {
			t.Errorf("endpoint %d: health %.2f, ejected: %v; want 1, false", ep.ID, h.health(ep), h.b.ejected(ep))
		}
	}
}

// When all endpoints are slow, none of them is an outlier: once the class is known to be slow, an attempt of
// 430 ms is not an error although the latency objective is 300 ms. An attempt that takes far longer than all
// others still is an error.
func TestHighLatencyInOverloadedFleetIsNoError(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	latencies := []Milliseconds{370, 430, 400}
	for i := range 60 {
		id, actions := h.request(nonIdempotentClass)
		if !hasAction(actions, SendAttempt) {
			continue
		}
		end := h.now + latencies[i%3]
		for req := h.b.requests[id]; !req.finished && req.nextTimerAt < end; {
			h.now = req.nextTimerAt
			h.dispatch(TimerFired{Token: uint64(id)})
		}
		h.now = end
		if i > 30 && h.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d, which takes %v ms, is overdue after %v ms",
				i, latencies[i%3], h.b.overdueAfter(h.b.requests[id]))
		}
		h.finishAttempt(id, 0, OK, latencies[i%3])
	}
	id, actions := h.request(nonIdempotentClass)
	for !hasAction(actions, SendAttempt) {
		h.now += 50
		id, actions = h.request(nonIdempotentClass)
	}
	req := h.b.requests[id]
	if h.now = req.nextTimerAt; h.now >= req.deadline {
		t.Fatalf("the next timer fires at %v, want a time before the deadline %v", h.now, req.deadline)
	}
	h.dispatch(TimerFired{Token: uint64(id)})
	slowAttempt := req.attempts[0]
	if errors := slowAttempt.endpoint.outlier.consecutiveErrors; !slowAttempt.overdue || errors != 1 {
		t.Fatalf("an attempt far slower than all others: overdue: %v, %d errors; want true, 1", slowAttempt.overdue, errors)
	}
}

// An instance with one request per second uses a zone that accepts requests but never responds. After some
// overdue attempts, most requests have to go to other zones, although connections to the hung zone are open.
func TestLowTrafficInstanceAvoidsHungZone(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection, cfg.Costs.CrossZone = 15000, 0.08, 0.03
	h := newHarness(t, cfg, newEndpoints(16)...) // four zones; this instance is in the first
	h.randomizeRotation()
	sendSequence(h, 30)
	sentToHungZone := 0 // of the last 20 requests
	for i := range 40 {
		h.now += 1000
		id, actions := h.request(idempotentClass)
		target, ok := sendTarget(actions)
		if !ok {
			t.Fatalf("request %d was not sent", i)
		}
		if target > 4 {
			h.finishAttempt(id, 0, OK, 30)
			continue
		}
		if i >= 20 {
			sentToHungZone++
		}
		end := h.now + 900
		for req := h.b.requests[id]; req.nextTimerAt < end; {
			h.now = req.nextTimerAt
			h.dispatch(TimerFired{Token: uint64(id)})
		}
		h.now = end
		actions = h.finishAttempt(id, 0, TimedOut, 900)
		if _, retried := sendTarget(actions); retried {
			h.finishAttempt(id, 1, OK, 30)
		}
	}
	if sentToHungZone > 4 { // 7 if errors are not counted, 20 if the capacity is not learned from them either
		t.Errorf("%d of the last 20 requests went to the hung zone, want at most 4", sentToHungZone)
	}
}

// The health multiplier falls with consecutive errors, recovers with time and after a success, and never falls
// below its minimum. Errors of one endpoint do not affect another.
func TestHealthFallsRecoversAndHasAMinimum(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	ep := h.b.endpoints.list[0]
	if got := h.health(ep); got != 1 {
		t.Fatalf("health without errors is %v, want 1", got)
	}
	ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 2, h.now
	if got, want := h.health(ep), 1-2*healthPenaltyPerError; math.Abs(got-want) > 1e-9 {
		t.Fatalf("health after two errors is %v, want %v", got, want)
	}
	h.b.now += errorHalfLife
	if got, want := h.health(ep), 1-healthPenaltyPerError; math.Abs(got-want) > 1e-9 {
		t.Fatalf("health after a half-life is %v, want %v", got, want)
	}
	ep.outlier.consecutiveErrors = 1000
	if got := h.health(ep); got != minHealth {
		t.Fatalf("health after 1000 errors is %v, want the minimum %v", got, minHealth)
	}
	if got := h.health(h.b.endpoints.list[1]); got != 1 {
		t.Fatalf("errors of another endpoint changed health to %v, want 1", got)
	}
	ep.outlier.consecutiveErrors = 2
	id, _ := h.request(idempotentClass)
	h.b.requests[id].attempts[0].endpoint = ep
	ep.load.inFlight, h.b.endpoints.list[1].load.inFlight = 1, 0
	h.finishAttempt(id, 0, OK, 10)
	if got := h.health(ep); got != 1 {
		t.Fatalf("health after a success is %v, want 1", got)
	}
}

// An endpoint at minimum health gets less than its share of the requests, but still some of them. Otherwise its
// recovery would not be detected.
func TestEndpointAtMinimumHealthIsStillUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	count := 0
	for range 40 { // each success clears the errors, so they are set again every time
		h.b.endpoints.list[2].outlier.consecutiveErrors, h.b.endpoints.list[2].outlier.lastErrorAt = 1000, h.now
		if sendSequence(h, 1)[0] == 3 {
			count++
		}
	}
	if count == 0 || count >= 10 {
		t.Fatalf("the endpoint at minimum health got %d of 40 requests, want 1 to 9", count)
	}
}
