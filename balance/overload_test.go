package balance

import (
	"fmt"
	"testing"
)

// A hung endpoint is avoided at once for its requests in flight and ejected after several errors. Its stuck
// requests must not look like an overload of all endpoints.
func TestHungEndpointCausesNoShedding(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(6)...)
	hung := 0
	for range 900 {
		h.now += 5
		for _, a := range h.dueTimers() {
			h.dispatch(a)
		}
		id, actions := h.request(idempotentClass)
		target, ok := sendTarget(actions)
		if !ok {
			t.Fatalf("request %d was rejected: shed %v", id, h.b.shedder.steadyFraction)
		}
		if target == 1 {
			hung++
			continue
		}
		h.now++
		h.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung endpoint got %d of 900", hung)
	}
}

// An instance with a request a second cannot judge the load by its requests in flight, which coincide by
// chance. Recent fast responses have to prevent shedding, and recent late ones have to cause it.
func TestLowTrafficInstanceShedsByRecentLatency(t *testing.T) {
	for took, want := range map[Milliseconds][2]int{60: {0, 2}, 900: {20, 199}} {
		t.Run(fmt.Sprintf("responses of %v ms", took), func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(12)...)
			rejected := 0
			for range 100 {
				h.now += 50
				id, actions := h.request(idempotentClass)
				second, more := h.request(idempotentClass) // two at once
				for _, r := range []struct {
					id      RequestID
					actions []Action
				}{{id, actions}, {second, more}} {
					if hasAction(r.actions, RejectRequest) {
						rejected++
					}
				}
				h.now += took
				for _, id := range []RequestID{id, second} {
					if req := h.b.requests[id]; req != nil && req.inFlight > 0 {
						h.finishAttempt(id, 0, OK, took)
					}
				}
				h.now += 900
			}
			if rejected < want[0] || rejected > want[1] {
				t.Errorf("responses of %v ms: %d of 200 rejected, want %v", took, rejected, want)
			}
		})
	}
}

// Traffic that grows tenfold in seconds while responses stay fast causes no shedding. Requests in flight
// compared with an outdated response rate caused half of the traffic to be rejected.
func TestFastTrafficGrowthCausesNoShedding(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	var open []RequestID
	rejected := 0
	for gap := Milliseconds(20); gap > 2; gap *= 0.998 { // tenfold in about nine seconds
		h.now += gap
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && h.b.requests[open[0]].arrivedAt <= h.now-80 { // each response takes about 80 ms
			h.finishAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected", rejected)
	}
}

// An instance that sheds nearly all its traffic gets no responses that could show the end of the overload.
// Shedding has to end all the same.
func TestSheddingEndsWithoutResponses(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(6)...)
	for range 30 {
		id, actions := h.request(idempotentClass)
		h.now += 1200
		if hasAction(actions, SendAttempt) {
			h.finishAttempt(id, 0, OK, 1200)
		}
	}
	if h.b.shedder.steadyFraction < 0.5 {
		t.Fatalf("latency of four objectives: sheds %.2f", h.b.shedder.steadyFraction)
	}
	served := 0
	for i := range 60 {
		h.now += 1000
		id, actions := h.request(idempotentClass)
		if hasAction(actions, SendAttempt) {
			h.finishAttempt(id, 0, OK, 40)
			if i >= 30 {
				served++
			}
		}
	}
	if served < 27 {
		t.Errorf("half a minute later %d of 30 are sent", served)
	}
}

// Where responses are lost, overdue attempts are not counted as load while other responses are fast. In an
// overload the other responses are late as well, and overdue attempts count.
func TestLostResponsesCauseNoShedding(t *testing.T) {
	for took, want := range map[Milliseconds][2]int{40: {0, 20}, 900: {60, 399}} {
		t.Run(fmt.Sprintf("responses of %v ms", took), func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(12)...)
			ends := map[RequestID]Milliseconds{} // of attempts in flight
			rejected := 0
			for i := range 400 {
				h.now += 40
				for id := RequestID(1); id <= h.lastRequest; id++ {
					end, out := ends[id]
					req := h.b.requests[id]
					if out && req.nextTimerAt <= h.now {
						h.dispatch(TimerFired{Token: uint64(id)})
					}
					if out && h.now >= end {
						delete(ends, id)
						if end == req.deadline {
							h.finishAttempt(id, 0, TimedOut, end-req.arrivedAt)
						} else {
							h.finishAttempt(id, 0, OK, took)
						}
					}
				}
				id, actions := h.request(cellKeyClass)
				switch req := h.b.requests[id]; {
				case hasAction(actions, RejectRequest):
					rejected++
				case i%3 == 0: // its response is lost
					ends[id] = req.deadline
				default:
					ends[id] = h.now + took
				}
			}
			if rejected < want[0] || rejected > want[1] {
				t.Errorf("responses of %v ms, a third lost: %d of 400 rejected, want %v", took, rejected, want)
			}
		})
	}
}

// Shedding is bounded by a multiple of the fraction of late responses, as more cannot help. Without the bound
// small instances with one late response in twenty shed nearly all requests.
func TestSheddingIsBoundedByLateFraction(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	rejected := 0
	for i := range 300 {
		h.now += 400
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
			continue
		}
		took := Milliseconds(210)
		if i%20 == 0 {
			took = 400
		}
		h.now += took
		h.finishAttempt(id, 0, OK, took)
	}
	if rejected > 150 { // 190 without the bound
		t.Errorf("%d of 300 rejected with one in twenty responses late", rejected)
	}
}

// The fraction of late responses decays with the time since the last response. If it does not, instances with
// few responses go on shedding for half a minute after an overload.
func TestLateFractionDecaysOverTime(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	h.b.shedder.steadyFraction, h.b.latency.lateFraction, h.b.latency.ratio, h.b.latency.lastResponseAt = 0.95, 0.6, 0.55, h.now
	rejected := 0
	for range 20 {
		h.now += 1000
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
		} else {
			h.now += 165 // about as slow as the target
			h.finishAttempt(id, 0, OK, 165)
		}
	}
	if rejected > 10 { // 17 before
		t.Errorf("%d of 20 rejected after the overload", rejected)
	}
}

// Clients that retry rejected attempts at once can cause several attempts for each request. Rejected attempts
// count as late in the bound of shedding, or the retry storm continues.
func TestRetryStormIsShed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	rejected := 0 // before an attempt is sent
	for i := range 120 {
		h.now += 300
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
			continue
		}
		for attempt := 0; h.b.requests[id] != nil && attempt < len(h.b.requests[id].attempts); attempt++ {
			h.now += 10
			result, took := Rejected, Milliseconds(1)
			if i%5 == 0 {
				result, took = OK, 250
			}
			h.finishAttempt(id, attempt, result, took)
		}
	}
	if rejected < 30 { // 0 before
		t.Errorf("%d of 120 rejected while four fifths of attempts are", rejected)
	}
}
