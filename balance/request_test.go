package balance

import (
	"fmt"
	"testing"
)

// A request without any time left is rejected at once, and no attempt is sent.
func TestExpiredRequestIsRejectedImmediately(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	actions := h.dispatch(Request{ID: 1, Class: nonIdempotentClass, Remaining: 0})
	if !hasAction(actions, RejectRequest) || hasAction(actions, SendAttempt) {
		t.Fatalf("request without time left: got %+v, want a rejection and no attempt", actions)
	}
}

// While no endpoint is ready, a request waits. It is rejected at its deadline at the latest.
func TestNoReadyEndpoint(t *testing.T) {
	drained := newEndpoints(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, endpoints := range map[string][]Endpoint{"empty": nil, "draining": drained} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), endpoints...)
			id, actions := h.request(nonIdempotentClass)
			if hasAction(actions, SendAttempt) || !hasAction(actions, SetTimer) {
				t.Fatalf("%s: got %+v, want a timer and no attempt", name, actions)
			}
			rejected := false
			for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
				h.now += 10
				rejected = rejected || hasAction(h.dispatch(TimerFired{Token: uint64(id)}), RejectRequest)
			}
			if !rejected || len(h.b.requests) != 0 {
				t.Fatalf("%s: got rejected %v and %d open requests, want true and 0", name, rejected, len(h.b.requests))
			}
		})
	}
}

// A request that waits for an endpoint waits as long as an attempt can still be answered before its client gives up,
// also after its latency objective of 300 ms. Then it is rejected at once, not at its deadline.
func TestWaitEndsWhenNoAttemptCanBeAnswered(t *testing.T) {
	const latency = 100
	h := newHarness(t, baseConfig(), newEndpoints(1)...)
	for range 10 {
		id, _ := h.request(idempotentClass)
		h.finishAttempt(id, 0, OK, latency)
	}
	deadline := h.now + baseConfig().Classes[idempotentClass].Deadline
	draining := newEndpoints(1)
	draining[0].State = Draining
	for _, endpointReturns := range []bool{true, false} {
		h.dispatch(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: draining})
		id, _ := h.request(idempotentClass)
		start := h.now
		var ending []Action
		for ending == nil && h.now < deadline {
			h.now += 5
			if endpointReturns && h.now >= start+1000 {
				h.dispatch(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: newEndpoints(1)})
			}
			actions := h.dispatch(TimerFired{Token: uint64(id)})
			if hasAction(actions, SendAttempt) || hasAction(actions, RejectRequest) {
				ending = actions
			}
		}
		switch waited := h.now - start; {
		case endpointReturns:
			if !hasAction(ending, SendAttempt) || waited != 1000 {
				t.Errorf("endpoint ready after 1000 ms: got %+v after %v ms, want an attempt", ending, waited)
			}
			h.finishAttempt(id, 0, OK, latency)
			h.now, deadline = h.now+latency, h.now+latency+baseConfig().Classes[idempotentClass].Deadline
		case !hasAction(ending, RejectRequest) || h.now < deadline-latency || h.now > deadline-latency+10:
			t.Errorf("no endpoint: got %+v after %v ms, want a rejection %v ms before the deadline", ending, waited, latency)
		}
	}
}

// A request that has been tried at every endpoint that may get it is rejected at once: its client can do something else
// with the time that it has left. It was kept until its latency objective, or until its deadline.
func TestRequestTriedEverywhereEndsAtOnce(t *testing.T) {
	for _, class := range []int{idempotentClass, cellKeyClass} {
		h := newHarness(t, baseConfig(), newEndpoints(1)...)
		id, _ := h.request(class)
		h.now += 10
		actions := h.finishAttempt(id, 0, ServerError, 10)
		if !hasAction(actions, RejectRequest) && !hasAction(actions, FailRequest) {
			t.Errorf("class %d, error of the only endpoint: got %+v, want a final response", class, actions)
		}
		id, _ = h.request(class)
		actions = h.finishAttempt(id, 0, NotAttempted, 10)
		if hasAction(actions, RejectRequest) || hasAction(actions, FailRequest) {
			t.Errorf("class %d, attempt not made: got %+v, want a wait", class, actions)
		}
	}
}

// Before the latencies of a class are known, an attempt is overdue after a third of the time that its client waits,
// which leaves time for another attempt, whatever the latency objective is. A class with an objective equal to its
// deadline had no time left for one after half of it.
func TestFirstAttemptsAreOverdueByClientsTime(t *testing.T) {
	for _, objective := range []Milliseconds{100, 1500} {
		for _, remaining := range []Milliseconds{600, 1500} {
			cfg := baseConfig()
			cfg.Classes[idempotentClass].LatencyObjective = objective
			h := newHarness(t, cfg, newEndpoints(2)...)
			start := h.now
			actions := h.dispatch(Request{ID: 1, Class: idempotentClass, Remaining: remaining})
			target, _ := sendTarget(actions)
			for h.b.endpoints.byID[target].outlier.consecutiveErrors == 0 && h.now < start+remaining {
				h.now = h.b.requests[1].nextTimerAt
				h.dispatch(TimerFired{Token: 1})
			}
			if got := h.now - start; (got - remaining/3).abs() > timerTolerance {
				t.Errorf("objective %v, client waits %v ms: got the attempt overdue after %v ms, want a third of that time",
					objective, remaining, got)
			}
		}
	}
}

// Rounding can make a timer fire slightly early. It must be set again, because otherwise the request would get no
// final response at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := h.request(nonIdempotentClass)
	h.now = h.b.requests[id].nextTimerAt - 1e-4
	if actions := h.dispatch(TimerFired{Token: uint64(id)}); !hasAction(actions, SetTimer) {
		t.Fatalf("after an early timer: got %+v, want another timer", actions)
	}
}

// After a streamed response has started, the balancer neither enforces the deadline nor retries the request nor
// sends another response.
func TestStartedStreamIsNotInterrupted(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Streaming = true
	h := newHarness(t, cfg, newEndpoints(3)...)
	id, actions := h.request(idempotentClass)
	target, _ := sendTarget(actions)
	h.dispatch(StreamStarted{Request: id, Endpoint: target, Latency: 20})
	h.now += 5000
	actions = h.dispatch(TimerFired{Token: uint64(id)})
	if hasAction(actions, FailRequest) || hasAction(actions, RejectRequest) || hasAction(actions, SendAttempt) {
		t.Fatalf("after the start of a stream: got %+v, want no attempt and no final response", actions)
	}
	h.dispatch(Outcome{Request: id, Endpoint: target, Result: ConnReset, Duration: 5000, Finished: true})
	if len(h.b.requests) != 0 {
		t.Fatalf("after the end of a stream: got %d open requests, want 0", len(h.b.requests))
	}
}

// The transfer of a response body may take long because of the client or the network. It must not count as load or
// latency of the endpoint, and must not be cancelled for a retry.
func TestSlowBodyTransferIsNotCountedAsLoad(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	for range 10 {
		id, actions := h.request(idempotentClass)
		if _, ok := sendTarget(h.answerHealthChecks(actions, 0, nil)); !ok {
			t.Fatalf("got %+v, want an attempt once the health checks are complete", actions)
		}
		h.now += 20
		h.dispatch(ResponseStarted{Request: id, Attempt: 0, Latency: 20})
		if load := h.b.totalRequiredRate(); load != 0 {
			t.Fatalf("during the transfer of a body: got a load of %v, want 0", load)
		}
		h.now += 230
		actions = h.dispatch(TimerFired{Token: uint64(id)})
		if hasAction(actions, CancelAttempt) || hasAction(actions, SendAttempt) || hasAction(actions, RejectRequest) {
			t.Fatalf("during the transfer of a body: got %v, want no cancellation, attempt or rejection", actions)
		}
		h.finishAttempt(id, 0, OK, 250)
	}
	if got := h.b.classes[idempotentClass].meanLatency; got != 20 {
		t.Errorf("got a mean latency of %v ms, want 20 ms", got)
	}
	_, actions := h.request(idempotentClass)
	if _, ok := sendTarget(h.answerHealthChecks(actions, 2, nil)); !ok {
		t.Error("got no attempt after slow transfers, want one as the responses started fast")
	}
	id, actions := h.request(idempotentClass)
	target, _ := sendTarget(h.answerHealthChecks(actions, 0, nil))
	h.dispatch(ResponseStarted{Request: id, Attempt: 0, Latency: 20})
	if h.finishAttempt(id, 0, ConnReset, 30); h.b.endpoints.byID[target].outlier.consecutiveErrors != 1 {
		t.Errorf("after an interrupted response: got %d consecutive errors, want 1",
			h.b.endpoints.byID[target].outlier.consecutiveErrors)
	}
}

// After a pause of the process beyond a deadline, the timer of the request and the timeout of its attempt are due
// at the same time. In either order, the request gets exactly one final response.
func TestPauseBeyondDeadlineGivesOneResponse(t *testing.T) {
	for _, timerFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("timer first %v", timerFirst), func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(4)...)
			id, _ := h.request(nonIdempotentClass)
			target := h.b.requests[id].attempts[0].endpoint.ID
			h.now += 3000 // the deadline was at 600
			h.actions = nil
			late := Outcome{Request: id, Endpoint: target, Result: TimedOut, Duration: 600}
			if timerFirst {
				h.dispatch(TimerFired{Token: uint64(id)})
				late.Finished = true
				h.dispatch(late)
			} else {
				h.dispatch(late)
				h.dispatch(TimerFired{Token: uint64(id)})
			}
			responses := 0
			for _, a := range h.actions {
				switch a.Kind {
				case FailRequest:
					responses++
				case SendAttempt, RejectRequest: // not allowed, as the request may have been executed
					t.Errorf("timer first %v: got %+v, want no attempt and no rejection", timerFirst, a)
				}
			}
			if responses != 1 || len(h.b.requests) != 0 {
				t.Errorf("timer first %v: got %d final responses and %d open requests, want 1 and 0",
					timerFirst, responses, len(h.b.requests))
			}
		})
	}
}

// After the client has disconnected, no attempt and no response is sent, and the request is released when its
// attempt in flight has ended.
func TestNothingFollowsClientGone(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := h.request(idempotentClass)
	target := h.b.requests[id].attempts[0].endpoint.ID
	h.now += 10
	h.actions = nil
	h.dispatch(ClientGone{Request: id})
	h.dispatch(Outcome{Request: id, Endpoint: target, Result: ConnReset, Duration: 10, Finished: true})
	h.dispatch(TimerFired{Token: uint64(id)})
	h.dispatch(ClientGone{Request: id})
	for _, a := range h.actions {
		if a.Kind != CancelAttempt {
			t.Errorf("after the client disconnected: got %+v, want only CancelAttempt", a)
		}
	}
	if len(h.b.requests) != 0 {
		t.Errorf("after the client disconnected: got %d open requests, want 0", len(h.b.requests))
	}
}

// Finished requests, removed endpoints and completed health checks are released. Otherwise, memory use would grow
// without limit.
func TestFinishedStateIsReleased(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(5)...)
	for i := range 20000 {
		h.actions = h.actions[:0]
		h.now += 5
		id, actions := h.request(idempotentClass)
		actions = append(actions, h.answerHealthChecks(actions, 0, nil)...)
		if _, ok := sendTarget(actions); ok {
			h.finishAttempt(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling update with new endpoint IDs
			list := newEndpoints(5)
			for k := range list {
				list[k].ID = EndpointID(i + k + 1)
			}
			h.dispatch(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: list})
		}
	}
	b := h.b
	if len(b.requests) > 1 || len(b.endpoints.list) != 5 || len(b.endpoints.byID) != 5 ||
		len(b.checks.waitingRequests) > 1 || cap(b.actions) > 100 {
		t.Fatalf("got %d requests, %d endpoints, %d by ID, %d waiting, capacity for %d actions; "+
			"want at most 1, exactly 5, exactly 5, at most 1, at most 100",
			len(b.requests), len(b.endpoints.list), len(b.endpoints.byID), len(b.checks.waitingRequests), cap(b.actions))
	}
}

// BenchmarkRequest measures the handling of a request and its outcome with fleets of several sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 300} {
		b.Run(fmt.Sprintf("%d-endpoints", n), func(b *testing.B) {
			bal := New(baseConfig())
			bal.Start(0)
			if _, err := bal.Handle(0, EndpointUpdate{Kind: UpdateSnapshot, Endpoints: newEndpoints(n)}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := Milliseconds(0)
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				actions, err := bal.Handle(now, Request{ID: id, Remaining: 1500})
				if err != nil || len(actions) == 0 {
					b.Fatal(err, actions)
				}
				if actions[0].Kind != SendAttempt {
					continue
				}
				outcome := Outcome{Request: id, Endpoint: actions[0].Endpoint, Duration: 4, Finished: true}
				if _, err := bal.Handle(now+4, outcome); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
