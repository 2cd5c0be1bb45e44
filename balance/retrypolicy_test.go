package balance

import (
	"fmt"
	"testing"
)

// What may follow a first attempt, for each class and result, within the deduplication window and after it: a
// retry within the allowed scope, a rejection or a failure.
func TestRetryAfterFirstAttempt(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, result := range []Result{ServerError, Rejected, TimedOut, ConnectFailed, ConnReset, Cancelled} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, result, late), func(t *testing.T) {
					checkRetryAfterFirstAttempt(t, class, result, late)
				})
			}
		}
	}
}

// checkRetryAfterFirstAttempt ends the first attempt of a request with a result and checks the retry or the
// final answer.
func checkRetryAfterFirstAttempt(t *testing.T, class int, result Result, late bool) {
	t.Helper()
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a retry is useful until the deadline
		cfg.Classes[i].DedupWindow = 200
	}
	h := newHarness(t, cfg, newEndpoints(8)...)
	id, actions := h.request(class)
	first, ok := sendTarget(actions)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if h.now += 100; late {
		h.now += 200
	}
	actions = h.finishAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayRetry := c.Idempotency == Idempotent || result.NeverExecuted() || c.Idempotency == IdempotencyKey && !late
	second, sent := sendTarget(actions)
	if sent != mayRetry {
		t.Fatalf("retried: %v, want %v (%+v)", sent, mayRetry, actions)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotencyKey && c.DedupScope == DedupAll
		if hasAction(actions, RejectRequest) != mayReject || hasAction(actions, FailRequest) == mayReject {
			t.Fatalf("rejection allowed: %v, got %+v", mayReject, actions)
		}
		return
	}
	a, b := h.b.endpoints.byID[first], h.b.endpoints.byID[second]
	dirty := !result.NeverExecuted()
	if a == b || dirty && class == cellKeyClass && a.Cell != b.Cell || dirty && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Endpoint, a.Endpoint)
	}
}

// A rejection states that a request was not executed. A request with an attempt in flight at its deadline may
// have been, so it has to fail instead.
func TestPossiblyExecutedRequestIsNotRejected(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := h.request(class)
		h.now = h.b.requests[id].deadline
		actions := h.dispatch(TimerFired{Token: uint64(id)})
		if hasAction(actions, RejectRequest) || !hasAction(actions, FailRequest) {
			t.Errorf("class %d at its deadline with an attempt in flight: %+v", class, actions)
		}
	}
}

// The configured number of attempts is never exceeded.
func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, newEndpoints(4)...)
	id, _ := h.request(idempotentClass)
	if actions := h.finishAttempt(id, 0, Rejected, 1); hasAction(actions, SendAttempt) || !hasAction(actions, RejectRequest) {
		t.Fatalf("after the only attempt allowed: %+v", actions)
	}
}

// A reset connection says nothing of load: an idempotent request is retried, up to a limit.
func TestConnectionResetsAreRetried(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(8)...)
	id, _ := h.request(idempotentClass)
	for i := range maxResetRetries {
		if actions := h.finishAttempt(id, i, ConnReset, 1); !hasAction(actions, SendAttempt) {
			t.Fatalf("after %d resets: %v", i+1, actions)
		}
	}
	if actions := h.finishAttempt(id, maxResetRetries, ConnReset, 1); hasAction(actions, SendAttempt) {
		t.Errorf("after %d resets: %v", maxResetRetries+1, actions)
	}
}

// Some endpoints lose part of the responses. A request that such an endpoint has overtaken by later ones is
// retried elsewhere while that can still be in time; one that is merely slow is not, as more load would slow
// down more of them.
func TestLostResponsesAreRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		later   bool         // the endpoint completes later requests
		after   Milliseconds // when its timer fires
		retried bool
	}{
		{"overtaken", idempotentClass, true, 100, true},
		{"idempotency key, overtaken", globalKeyClass, true, 100, true},
		{"merely slow", idempotentClass, false, 100, false},
		{"not idempotent", nonIdempotentClass, true, 100, false},
		{"too late", idempotentClass, true, 290, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(4)...)
			for range 8 {
				id, _ := h.request(c.class)
				h.finishAttempt(id, 0, OK, 30)
			}
			lost, actions := h.request(c.class)
			at, _ := sendTarget(actions)
			sent := h.now
			h.now += 10
			for range 20 { // all stay open, so that all endpoints are equally loaded
				id, actions := h.request(c.class)
				if to, _ := sendTarget(actions); to == at && c.later {
					h.finishAttempt(id, 0, OK, 30)
				}
			}
			h.now = sent + c.after
			if got := hasAction(h.dispatch(TimerFired{Token: uint64(lost)}), CancelAttempt); got != c.retried {
				t.Fatalf("cancelled: %v", got)
			}
			if !c.retried {
				return
			}
			if to, ok := sendTarget(h.finishAttempt(lost, 0, Cancelled, c.after)); !ok || to == at {
				t.Errorf("retried: %v, from %d to %d", ok, at, to)
			}
		})
	}
}
