package balance

import (
	"math"
	"testing"
)

// An endpoint that leaves several attempts unanswered is ejected, and is used again when the ejection ends.
func TestConsecutiveErrorsEjectEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	ep := h.b.endpoints.list[0]
	for range errorsToEject - 1 {
		h.b.recordError(ep, false)
	}
	if h.b.ejected(ep) {
		t.Fatal("ejected before the last error")
	}
	h.b.recordError(ep, false)
	if !h.b.ejected(ep) {
		t.Fatal("not ejected after the last error")
	}
	for range 12 {
		id, actions := h.request(idempotentClass)
		if to, _ := sendTarget(actions); to == ep.ID {
			t.Fatal("an ejected endpoint got a request")
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now = ep.outlier.ejectedUntil
	for range 12 {
		id, actions := h.request(idempotentClass)
		to, _ := sendTarget(actions)
		if h.finishAttempt(id, 0, OK, 10); to == ep.ID && ep.outlier.ejectedUntil == 0 && ep.outlier.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the endpoint was not used after its ejection")
}

// When all endpoints are ejected the cause is hardly theirs, and requests are sent all the same.
func TestAllEjectedEndpointsAreUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, ep := range h.b.endpoints.list {
		h.b.recordError(ep, true)
	}
	if _, actions := h.request(idempotentClass); !hasAction(actions, SendAttempt) {
		t.Fatalf("nothing was sent: %+v", actions)
	}
}

// The restart of an endpoint clears its ejections and that it was unreachable, as they belong to the old
// process.
func TestRestartClearsErrorsAndEjection(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	ep := h.b.endpoints.list[0]
	h.dispatch(HealthCheckResult{Endpoint: ep.ID, Result: TimedOut})
	if !ep.outlier.checkFailed || !h.b.ejected(ep) {
		t.Fatal("a health check without response does not eject the endpoint")
	}
	entry := ep.Endpoint
	entry.StartedAt = h.now
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry}})
	if ep.outlier.checkFailed || ep.outlier.ejections != 0 || h.b.ejected(ep) {
		t.Fatalf("after the restart: unreachable %v, %d ejections", ep.outlier.checkFailed, ep.outlier.ejections)
	}
}

// A client that waits for less than the usual latency ends its request early, which is no error of the
// endpoint. Counted as errors, a few such clients ejected healthy endpoints.
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
			t.Fatalf("request %d is not sent", h.lastRequest)
		}
		h.now += 10
		h.finishAttempt(h.lastRequest, 0, TimedOut, 10)
	}
	for _, ep := range h.b.endpoints.list {
		if h.health(ep) < 1 || h.b.ejected(ep) {
			t.Errorf("endpoint %d: health %.2f, ejected: %v", ep.ID, h.health(ep), h.b.ejected(ep))
		}
	}
}

// When all endpoints are slow none is at fault: once the class is known to take long, an attempt of 430 ms
// with an objective of 300 ms is no error. An attempt far slower than all others still is.
func TestHighLatencyInOverloadedFleetIsNoError(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	times := []Milliseconds{370, 430, 400}
	for i := range 60 {
		id, actions := h.request(nonIdempotentClass)
		if !hasAction(actions, SendAttempt) {
			continue
		}
		end := h.now + times[i%3]
		for req := h.b.requests[id]; !req.done && req.nextTimerAt < end; {
			h.now = req.nextTimerAt
			h.dispatch(TimerFired{Token: uint64(id)})
		}
		h.now = end
		if i > 30 && h.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is overdue after %v", i, times[i%3], h.b.overdueAfter(h.b.requests[id]))
		}
		h.finishAttempt(id, 0, OK, times[i%3])
	}
	id, actions := h.request(nonIdempotentClass)
	for !hasAction(actions, SendAttempt) {
		h.now += 50
		id, actions = h.request(nonIdempotentClass)
	}
	req := h.b.requests[id]
	if h.now = req.nextTimerAt; h.now >= req.deadline {
		t.Fatal("no timer checks the attempt before its deadline")
	}
	if h.dispatch(TimerFired{Token: uint64(id)}); !req.attempts[0].overdue || req.attempts[0].endpoint.outlier.consecutiveErrors != 1 {
		t.Fatal("an attempt far slower than all others is no error")
	}
}

// An instance with a request a second meets a zone that accepts requests and never responds. After some
// overdue attempts most requests have to go elsewhere, although connections to that zone are open.
func TestLowTrafficInstanceAvoidsHungZone(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection, cfg.Costs.CrossZone = 15000, 0.08, 0.03
	h := newHarness(t, cfg, newEndpoints(16)...) // four zones; this instance is in the first
	h.randomizeRotation()
	sendSequence(h, 30)
	hung := 0
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
			hung++
		}
		end := h.now + 900
		for req := h.b.requests[id]; req.nextTimerAt < end; {
			h.now = req.nextTimerAt
			h.dispatch(TimerFired{Token: uint64(id)})
		}
		h.now = end
		actions = h.finishAttempt(id, 0, TimedOut, 900)
		if _, again := sendTarget(actions); again {
			h.finishAttempt(id, 1, OK, 30)
		}
	}
	if hung > 4 { // 7 without counting errors, 20 without learning from them either
		t.Errorf("%d of the last 20 requests went to the hung zone", hung)
	}
}

// Health falls with consecutive errors, recovers with time and after a success, and stays above a minimum.
// Errors of one endpoint do not affect another.
func TestHealthFallsRecoversAndHasAFloor(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	ep := h.b.endpoints.list[0]
	if m := h.health(ep); m != 1 {
		t.Fatalf("health without errors is %v", m)
	}
	ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 2, h.now
	if m := h.health(ep); math.Abs(m-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("health after two errors is %v", m)
	}
	h.b.now += errorHalfLife
	if m := h.health(ep); math.Abs(m-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("health after a half-life is %v", m)
	}
	ep.outlier.consecutiveErrors = 1000
	if m := h.health(ep); m != minHealth {
		t.Fatalf("health after very many errors is %v, want the minimum", m)
	}
	if m := h.health(h.b.endpoints.list[1]); m != 1 {
		t.Fatalf("errors of another endpoint changed health to %v", m)
	}
	ep.outlier.consecutiveErrors = 2
	id, _ := h.request(idempotentClass)
	h.b.requests[id].attempts[0].endpoint = ep
	ep.load.inFlight, h.b.endpoints.list[1].load.inFlight = 1, 0
	h.finishAttempt(id, 0, OK, 10)
	if m := h.health(ep); m != 1 {
		t.Fatalf("health after a success is %v", m)
	}
}

// An endpoint at minimum health gets less than its share but still some requests, or its recovery would not
// be noticed.
func TestEndpointAtMinimumHealthIsStillUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	hits := 0
	for range 40 { // a success resets the errors, so they are set again each time
		h.b.endpoints.list[2].outlier.consecutiveErrors, h.b.endpoints.list[2].outlier.lastErrorAt = 1000, h.now
		if sendSequence(h, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the endpoint at minimum health got %d of 40", hits)
	}
}
