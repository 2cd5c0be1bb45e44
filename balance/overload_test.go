package balance

import (
	"fmt"
	"testing"
)

// A hung endpoint is avoided at once because of its requests in flight, and ejected after several errors. Its hanging
// requests must not be treated as an overload of all endpoints.
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
			t.Fatalf("request %d: got no attempt at a steady shed fraction of %v, want one",
				id, h.b.shedder.steadyFraction)
		}
		if target == 1 {
			hung++
			continue
		}
		h.now++
		h.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("got %d of 900 requests at the hung endpoint, want 40 at most", hung)
	}
}

// An instance with about one request per second cannot estimate the load from its requests in flight, which coincide
// by chance. Recent fast responses must prevent load shedding, and so must slow ones that all arrive in time. Recent
// responses that show that others will miss the time of their clients, 1500 ms, must cause it.
func TestLowTrafficInstanceShedsByRecentLatency(t *testing.T) {
	for latencies, want := range map[[2]Milliseconds][2]int{
		{60, 60}: {0, 2}, {900, 900}: {0, 2}, {700, 1450}: {20, 199},
	} {
		for _, cfg := range []Config{baseConfig(), healthCheckConfig()} {
			t.Run(fmt.Sprintf("responses of %v ms, health checks %v", latencies, cfg.HealthChecks), func(t *testing.T) {
				h := newHarness(t, cfg, newEndpoints(12)...)
				rejected := 0
				for range 100 {
					h.now += 50
					h.b.checks.busyFraction = 1 // so that all endpoints are checked
					firstID, actions := h.request(idempotentClass)
					secondID, secondActions := h.request(idempotentClass) // at the same time
					h.answerHealthChecks(append(actions, secondActions...), 0, nil)
					sentAt := h.now
					for i, id := range []RequestID{firstID, secondID} {
						req := h.b.requests[id]
						if req == nil || req.inFlight == 0 {
							rejected++
							continue
						}
						h.now = sentAt + latencies[i]
						h.finishAttempt(id, 0, OK, latencies[i])
					}
					h.now = sentAt + latencies[1] + 900
				}
				if rejected < want[0] || rejected > want[1] {
					t.Errorf("got %d of 200 rejected, want %d to %d", rejected, want[0], want[1])
				}
			})
		}
	}
}

// A class whose responses take most of the time of its clients, always in time, beside one whose responses are fast is
// not a sign of an overload: neither varies. Nor are many requests at once of a class that has no responses yet. Once, 18
// of 177 fast requests were rejected beside such slow ones.
func TestSlowClassCausesNoShedding(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	latencies := map[int]Milliseconds{idempotentClass: 2, globalKeyClass: 1600} // of 1500 and 2000 ms
	ends := map[RequestID]Milliseconds{}
	rejected := 0
	for i := range 1000 {
		if i > 100 { // the first 100 requests come at once
			h.now += 10
		}
		for id := RequestID(1); id <= h.lastRequest; id++ {
			if end, inFlight := ends[id]; inFlight && h.now >= end {
				delete(ends, id)
				h.finishAttempt(id, 0, OK, end-h.b.requests[id].arrivedAt)
			}
		}
		class := idempotentClass
		if i%3 == 0 || i < 100 {
			class = globalKeyClass
		}
		id, actions := h.request(class)
		if hasAction(actions, RejectRequest) {
			rejected++
		} else {
			ends[id] = h.now + latencies[class]
		}
	}
	if rejected > 0 {
		t.Errorf("got %d of 1000 rejected, want none", rejected)
	}
}

// Clients that give up long before their requests can be answered must not cause rejections of those that wait, however
// many they are: the time limit of their class is that of clients that get a response.
func TestImpatientClientsCauseNoShedding(t *testing.T) {
	for _, interval := range []Milliseconds{2, 20} { // between two requests
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		type ending struct {
			at     Milliseconds
			result Result
		}
		ends := map[RequestID]ending{}
		sent, rejected := 0, 0
		for i := range 4000 {
			h.now += interval
			for id := RequestID(1); id <= h.lastRequest; id++ {
				if end, inFlight := ends[id]; inFlight && h.now >= end.at {
					delete(ends, id)
					h.finishAttempt(id, 0, end.result, end.at-h.b.requests[id].arrivedAt)
				}
			}
			h.lastRequest++
			id := h.lastRequest
			remaining, end := Milliseconds(4), ending{h.now + 4, TimedOut}
			if patient := i%20 == 0; patient {
				remaining, end = 1500, ending{h.now + 15, OK}
				sent++
			}
			actions := h.dispatch(Request{ID: id, Class: idempotentClass, Remaining: remaining})
			if hasAction(actions, SendAttempt) {
				ends[id] = end
			} else if end.result == OK {
				rejected++
			}
		}
		if rejected > 0 {
			t.Errorf("a request every %v ms: got %d of %d requests of patient clients rejected, want none",
				interval, rejected, sent)
		}
	}
}

// Traffic that grows tenfold within seconds while responses stay fast must not cause load shedding. When the requests
// in flight were compared with an outdated response rate, half of the traffic was rejected.
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
		t.Fatalf("got %d rejected requests, want 0", rejected)
	}
}

// An instance that sheds nearly all of its traffic gets no responses that could show the end of the overload. Load
// shedding must still end.
func TestSheddingEndsWithoutResponses(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(6)...)
	for i := range 30 {
		id, actions := h.request(idempotentClass)
		latency := []Milliseconds{900, 1490}[i%2]
		h.now += latency
		if hasAction(actions, SendAttempt) {
			h.finishAttempt(id, 0, OK, latency)
		}
	}
	if h.b.shedder.steadyFraction < 0.5 {
		t.Fatalf("responses that take 0.6 and 0.99 of the time of their clients: got a steady shed fraction of %.2f, want at least 0.5",
			h.b.shedder.steadyFraction)
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
		t.Errorf("half a minute later: got %d of 30 sent, want at least 27", served)
	}
}

// When a third of the responses is lost, the overdue attempts are not counted as load while other responses are fast.
// During an overload, some of the other responses hardly arrive within the 2000 ms of their clients, and overdue
// attempts count.
func TestLostResponsesCauseNoShedding(t *testing.T) {
	for latencies, want := range map[[2]Milliseconds][2]int{{40, 40}: {0, 20}, {800, 1900}: {60, 399}} {
		t.Run(fmt.Sprintf("responses of %v ms", latencies), func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(12)...)
			ends := map[RequestID]Milliseconds{} // end of each attempt in flight
			rejected := 0
			for i := range 400 {
				h.now += 40
				for id := RequestID(1); id <= h.lastRequest; id++ {
					end, inFlight := ends[id]
					req := h.b.requests[id]
					if inFlight && req.nextTimerAt <= h.now {
						h.dispatch(TimerFired{Token: uint64(id)})
					}
					if inFlight && h.now >= end {
						delete(ends, id)
						if end == req.deadline {
							h.finishAttempt(id, 0, TimedOut, end-req.arrivedAt)
						} else {
							h.finishAttempt(id, 0, OK, end-req.arrivedAt)
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
					ends[id] = h.now + latencies[i%2]
				}
			}
			if rejected < want[0] || rejected > want[1] {
				t.Errorf("responses of %v ms, a third lost: got %d of 400 rejected, want %d to %d",
					latencies, rejected, want[0], want[1])
			}
		})
	}
}

// A small instance whose responses arrive within the 1500 ms of their clients must not shed most of its load because one
// in twenty takes longer. Once, small instances with one late response in twenty shed nearly all requests.
func TestFewSlowResponsesCauseLittleShedding(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	rejected := 0
	for i := range 300 {
		h.now += 400
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
			continue
		}
		latency := Milliseconds(1050)
		if i%20 == 0 {
			latency = 1450
		}
		h.now += latency
		h.finishAttempt(id, 0, OK, latency)
	}
	if rejected > 30 {
		t.Errorf("one in twenty responses slow: got %d of 300 rejected, want 30 at most", rejected)
	}
}

// The weight of slow responses decays with the time since the last response. Otherwise, instances with few responses
// would continue to shed load for half a minute after an overload.
func TestSheddingDecaysOverTime(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	h.b.shedder.steadyFraction = 0.95
	h.b.latency.meanRatio, h.b.latency.lastSampleAt = 0.55, h.now
	rejected := 0
	for range 20 {
		h.now += 1000
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
		} else {
			h.now += 825 // 0.55 of the client's time, close to the shed threshold
			h.finishAttempt(id, 0, OK, 825)
		}
	}
	if rejected > 10 { // 17 before the decay was added
		t.Errorf("after the overload: got %d of 20 rejected, want 10 at most", rejected)
	}
}

// When clients retry rejected requests at once, each of them can cause several attempts. Rejected attempts count as
// responses that take longer than their clients wait. Otherwise, the retry storm would continue.
func TestRetryStormIsShed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	rejected := 0 // before an attempt was sent
	for i := range 120 {
		h.now += 300
		id, actions := h.request(idempotentClass)
		if hasAction(actions, RejectRequest) {
			rejected++
			continue
		}
		for attempt := 0; h.b.requests[id] != nil && attempt < len(h.b.requests[id].attempts); attempt++ {
			h.now += 10
			result, latency := Rejected, Milliseconds(1)
			if i%5 == 0 {
				result, latency = OK, 250
			}
			h.finishAttempt(id, attempt, result, latency)
		}
	}
	if rejected < 30 { // 0 before rejected attempts counted
		t.Errorf("four fifths of attempts rejected by endpoints: got %d of 120 requests rejected, want at least 30",
			rejected)
	}
}

// If no attempt at any endpoint is answered before its client gives up, there are no latencies from which an overload
// could be seen. Most requests must then be rejected, because further attempts only keep the endpoints busy with work
// for which nobody waits, and the rejections must end when the endpoints respond again. A single endpoint that hangs
// must cause none.
func TestUnansweredAttemptsCauseShedding(t *testing.T) {
	for _, test := range []struct {
		name                     string
		silent                   EndpointID // endpoints with IDs up to this do not respond
		minRejected, maxRejected int
	}{
		{"all silent", 12, 250, 399},
		{"one hangs", 1, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(12)...)
			ends := map[RequestID]Milliseconds{}
			step := func(silent EndpointID) (rejected bool) {
				h.now += 50
				for _, timer := range h.dueTimers() {
					h.dispatch(timer)
				}
				for id := RequestID(1); id <= h.lastRequest; id++ {
					end, inFlight := ends[id]
					if !inFlight || h.now < end {
						continue
					}
					delete(ends, id)
					req, result := h.b.requests[id], OK
					if end == req.deadline {
						result = TimedOut
					}
					h.finishAttempt(id, 0, result, end-req.arrivedAt)
				}
				id, actions := h.request(globalKeyClass)
				target, sent := sendTarget(actions)
				if sent && target <= silent {
					ends[id] = h.b.requests[id].deadline
				} else if sent {
					ends[id] = h.now + 40
				}
				return !sent
			}
			count := func(silent EndpointID) (rejected int) {
				for range 400 { // 20 s
					if step(silent) {
						rejected++
					}
				}
				return rejected
			}
			count(0)
			if rejected := count(test.silent); rejected < test.minRejected || rejected > test.maxRejected {
				t.Errorf("got %d of 400 rejected, want %d to %d", rejected, test.minRejected, test.maxRejected)
			}
			count(0) // the endpoints respond again
			if rejected := count(0); rejected > 0 {
				t.Errorf("20 s after the endpoints responded again: got %d of 400 rejected, want none", rejected)
			}
		})
	}
}
