package balance

import (
	"fmt"
	"testing"
)

// A request without time left is rejected at once and never sent.
func TestExpiredRequestIsRejectedImmediately(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	actions := h.dispatch(Request{ID: 1, Class: nonIdempotentClass, Remaining: 0})
	if !hasAction(actions, RejectRequest) || hasAction(actions, SendAttempt) {
		t.Fatalf("a request without time left: %+v", actions)
	}
}

// Without a ready endpoint a request waits and is rejected by its deadline.
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
				t.Fatalf("%s: %+v", name, actions)
			}
			rejected := false
			for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
				h.now += 10
				rejected = rejected || hasAction(h.dispatch(TimerFired{Token: uint64(id)}), RejectRequest)
			}
			if !rejected || len(h.b.requests) != 0 {
				t.Fatalf("%s: rejected %v, %d requests left", name, rejected, len(h.b.requests))
			}
		})
	}
}

// A timer that fires a rounding error too early is set again, or the request gets no answer at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := h.request(nonIdempotentClass)
	h.now = h.b.requests[id].nextTimerAt - 1e-4
	if actions := h.dispatch(TimerFired{Token: uint64(id)}); !hasAction(actions, SetTimer) {
		t.Fatalf("no timer after an early one: %+v", actions)
	}
}

// Once a streamed response has begun it belongs to the client: no deadline, no retry and no other answer
// follows.
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
		t.Fatalf("a started stream got %+v", actions)
	}
	h.dispatch(Outcome{Request: id, Endpoint: target, Result: ConnReset, Duration: 5000, Finished: true})
	if len(h.b.requests) != 0 {
		t.Fatal("a finished stream is not released")
	}
}

// A response that has begun is done for its endpoint, however long the transfer of its body takes: it is no
// load, does not make the endpoint slow, and is not cancelled for a retry.
func TestSlowBodyTransferIsNotCountedAsLoad(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	for range 10 {
		id, actions := h.request(idempotentClass)
		if _, ok := sendTarget(h.answerHealthChecks(actions, 0, nil)); !ok {
			t.Fatal("not sent")
		}
		h.now += 20
		h.dispatch(ResponseStarted{Request: id, Attempt: 0, Latency: 20})
		if load := h.b.inFlightLoad(); load != 0 {
			t.Fatalf("load of %v during the transfer of bodies", load)
		}
		h.now += 230
		actions = h.dispatch(TimerFired{Token: uint64(id)})
		if hasAction(actions, CancelAttempt) || hasAction(actions, SendAttempt) || hasAction(actions, RejectRequest) {
			t.Fatalf("during the transfer of a body: %v", actions)
		}
		h.finishAttempt(id, 0, OK, 250)
	}
	if got := h.b.classes[idempotentClass].meanLatency; got != 20 {
		t.Errorf("mean latency of %v ms", got)
	}
	_, actions := h.request(idempotentClass)
	if _, ok := sendTarget(h.answerHealthChecks(actions, 2, nil)); !ok {
		t.Error("rejected for the duration of transfers")
	}
	id, actions := h.request(idempotentClass)
	target, _ := sendTarget(h.answerHealthChecks(actions, 0, nil))
	h.dispatch(ResponseStarted{Request: id, Attempt: 0, Latency: 20})
	if h.finishAttempt(id, 0, ConnReset, 30); h.b.endpoints.byID[target].outlier.consecutiveErrors != 1 {
		t.Error("an interrupted response is no error")
	}
}

// A process that was paused past a deadline finds a timer and a timeout of the attempt at once. Whichever
// comes first, the request gets exactly one final answer.
func TestPauseBeyondDeadlineGivesOneAnswer(t *testing.T) {
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
			answers := 0
			for _, a := range h.actions {
				switch a.Kind {
				case FailRequest:
					answers++
				case SendAttempt, RejectRequest: // it may have been executed
					t.Errorf("timer first %v: %+v", timerFirst, a)
				}
			}
			if answers != 1 || len(h.b.requests) != 0 {
				t.Errorf("timer first %v: %d answers, %d requests not released", timerFirst, answers, len(h.b.requests))
			}
		})
	}
}

// After the client has gone nothing is sent or answered any more, and attempts in flight still end.
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
			t.Errorf("after the client has gone: %+v", a)
		}
	}
	if len(h.b.requests) != 0 {
		t.Error("the request is not released")
	}
}

// Finished requests, removed endpoints and completed health checks are released, so that memory stays flat.
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
		len(b.checks.awaiting) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, %d endpoints, %d by ID, %d waiting, room for %d actions",
			len(b.requests), len(b.endpoints.list), len(b.endpoints.byID), len(b.checks.awaiting), cap(b.actions))
	}
}

// BenchmarkRequest measures a request from arrival to its outcome in fleets of several sizes.
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
				if _, err := bal.Handle(now+4, Outcome{Request: id, Endpoint: actions[0].Endpoint, Duration: 4, Finished: true}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
