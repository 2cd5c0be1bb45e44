package balance

import (
	"fmt"
	"testing"
)

// Tests for each class and result, within the dedup window and after it, that the end of a first attempt is followed
// by a retry within the dedup scope, by a rejection or by a failure, as the idempotency of the class requires.
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

// checkRetryAfterFirstAttempt ends the first attempt of a request with the given result and checks the retry or the
// final response. late means that the attempt ends after the dedup window.
func checkRetryAfterFirstAttempt(t *testing.T, class int, result Result, late bool) {
	t.Helper()
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].DedupWindow = 200
	}
	h := newHarness(t, cfg, newEndpoints(8)...)
	id, actions := h.request(class)
	first, ok := sendTarget(actions)
	if !ok {
		t.Fatalf("got %+v, want an attempt", actions)
	}
	if h.now += 100; late {
		h.now += 200
	}
	actions = h.finishAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayRetry := c.Idempotency == Idempotent || result.NeverExecuted() || c.Idempotency == IdempotencyKey && !late
	second, sent := sendTarget(actions)
	if sent != mayRetry {
		t.Fatalf("got a retry: %v, want %v (%+v)", sent, mayRetry, actions)
	}
	if !sent {
		mayReject := c.Idempotency == IdempotencyKey && c.DedupScope == DedupAll
		if hasAction(actions, RejectRequest) != mayReject || hasAction(actions, FailRequest) == mayReject {
			t.Fatalf("got %+v, want a rejection: %v, otherwise a failure", actions, mayReject)
		}
		return
	}
	a, b := h.b.endpoints.byID[first], h.b.endpoints.byID[second]
	mayHaveExecuted := !result.NeverExecuted()
	if a == b || mayHaveExecuted && class == cellKeyClass && a.Cell != b.Cell ||
		mayHaveExecuted && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("got a retry at %+v after an attempt at %+v, want another endpoint in the dedup scope",
			b.Endpoint, a.Endpoint)
	}
}

// A rejection tells the client that a retry is safe. A request with an attempt in flight at its deadline may have been
// executed, so it must be failed instead.
func TestPossiblyExecutedRequestIsNotRejected(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := h.request(class)
		h.now = h.b.requests[id].deadline
		actions := h.dispatch(TimerFired{Token: uint64(id)})
		if hasAction(actions, RejectRequest) || !hasAction(actions, FailRequest) {
			t.Errorf("class %d at its deadline with an attempt in flight: got %+v, want a failure", class, actions)
		}
	}
}

// A request gets at most MaxAttempts attempts.
func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, newEndpoints(4)...)
	id, _ := h.request(idempotentClass)
	actions := h.finishAttempt(id, 0, Rejected, 1)
	if hasAction(actions, SendAttempt) || !hasAction(actions, RejectRequest) {
		t.Fatalf("after the only attempt allowed: got %+v, want a rejection and no attempt", actions)
	}
}

// A connection reset is not a sign of overload: an idempotent request is retried up to maxResetRetries times.
func TestConnectionResetsAreRetried(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(8)...)
	id, _ := h.request(idempotentClass)
	for i := range maxResetRetries {
		if actions := h.finishAttempt(id, i, ConnReset, 1); !hasAction(actions, SendAttempt) {
			t.Fatalf("after %d resets: got %v, want an attempt", i+1, actions)
		}
	}
	if actions := h.finishAttempt(id, maxResetRetries, ConnReset, 1); hasAction(actions, SendAttempt) {
		t.Errorf("after %d resets: got %v, want no attempt", maxResetRetries+1, actions)
	}
}

// Some endpoints lose responses. An overdue attempt is presumed lost if its endpoint responded to a later attempt, and
// is retried at another endpoint while the response can still arrive before the client gives up. An attempt that is merely slow is not
// retried, because the additional load would slow down more requests.
func TestLostResponsesAreRetried(t *testing.T) {
	for _, c := range []struct {
		name          string
		class         int
		laterResponse bool         // the endpoint responds to later attempts
		timerDelay    Milliseconds // time from the attempt to the timer
		wantRetry     bool
	}{
		{"presumed lost", idempotentClass, true, 100, true},
		{"idempotency key, presumed lost", globalKeyClass, true, 100, true},
		{"merely slow", idempotentClass, false, 100, false},
		{"not idempotent", nonIdempotentClass, true, 100, false},
		{"after the latency objective", idempotentClass, true, 1400, true},
		{"too late", idempotentClass, true, 1480, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(4)...)
			for range 8 {
				id, _ := h.request(c.class)
				h.finishAttempt(id, 0, OK, 30)
			}
			lostID, actions := h.request(c.class)
			lostTarget, _ := sendTarget(actions)
			sentAt := h.now
			h.now += 10
			for range 20 { // the others stay open, so that all endpoints are equally loaded
				id, actions := h.request(c.class)
				if target, _ := sendTarget(actions); target == lostTarget && c.laterResponse {
					h.finishAttempt(id, 0, OK, 30)
				}
			}
			h.now = sentAt + c.timerDelay
			if got := hasAction(h.dispatch(TimerFired{Token: uint64(lostID)}), CancelAttempt); got != c.wantRetry {
				t.Fatalf("got a cancellation: %v, want %v", got, c.wantRetry)
			}
			if !c.wantRetry {
				return
			}
			target, ok := sendTarget(h.finishAttempt(lostID, 0, Cancelled, c.timerDelay))
			if !ok || target == lostTarget {
				t.Errorf("got a retry: %v, from endpoint %d to %d, want a retry at another endpoint",
					ok, lostTarget, target)
			}
		})
	}
}

// An endpoint executes a request when its last byte has arrived. If a retry arrived after the dedup window of an earlier
// attempt, the request could be executed twice. Tests that a retry with a key must arrive within the window of each
// attempt that may have been executed, and that other attempts have no limit.
func TestRetryMustArriveWithinDedupWindow(t *testing.T) {
	const window = 200
	for name, test := range map[string]struct {
		class   int
		outcome Outcome
		want    Milliseconds // after the first attempt was sent; 0: no limit
	}{
		"key, possibly executed":        {globalKeyClass, Outcome{Result: ConnReset}, window},
		"key, never executed":           {globalKeyClass, Outcome{Result: ConnectFailed}, 0},
		"key, error before last byte":   {globalKeyClass, Outcome{Result: ServerError, Incomplete: true}, 0},
		"idempotent, possibly executed": {idempotentClass, Outcome{Result: ConnReset}, 0},
	} {
		cfg := baseConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].DedupWindow = window
		}
		h := newHarness(t, cfg, newEndpoints(8)...)
		id, actions := h.request(test.class)
		sentAt := h.now
		if send := sendAction(t, actions); send.SendBy != 0 {
			t.Errorf("%s: got a first attempt that must arrive by %v, want no limit", name, send.SendBy)
		}
		h.now += 100
		test.outcome.Request = id
		want := test.want
		if want > 0 {
			want += sentAt
		}
		if send := sendAction(t, h.dispatch(test.outcome)); send.SendBy != want {
			t.Errorf("%s: got a retry that must arrive by %v, want %v", name, send.SendBy, want)
		}
	}
}

// The dedup window begins when the last byte of a long body is sent, not when the balancer is told of it.
func TestDedupWindowBeginsWhenLastByteIsSent(t *testing.T) {
	const window, untilLastByte, sinceSent = 200, 100, 30
	cfg := baseConfig()
	cfg.Classes[globalKeyClass].DedupWindow = window
	h := newHarness(t, cfg, newEndpoints(8)...)
	const id = RequestID(1)
	h.dispatch(Request{ID: id, Class: globalKeyClass, Remaining: 1000, Uploading: true})
	h.now += untilLastByte
	h.dispatch(UploadComplete{Request: id, Remaining: 1000, SinceSent: sinceSent})
	want := h.now - sinceSent + window
	if send := sendAction(t, h.dispatch(Outcome{Request: id, Result: ConnReset})); send.SendBy != want {
		t.Errorf("got a retry that must arrive by %v, want %v", send.SendBy, want)
	}
}

// sendAction returns the only attempt among actions.
func sendAction(t *testing.T, actions []Action) Action {
	t.Helper()
	var sends []Action
	for _, action := range actions {
		if action.Kind == SendAttempt {
			sends = append(sends, action)
		}
	}
	if len(sends) != 1 {
		t.Fatalf("got %d attempts in %+v, want 1", len(sends), actions)
	}
	return sends[0]
}

// New settings change the dedup window between the first attempt of a request and its retry. The endpoints that have
// the key remember it as the settings of the open request say.
func TestOpenRequestKeepsItsDedupWindow(t *testing.T) {
	const window, newWindow = 200, 5000
	cfg := baseConfig()
	cfg.Classes[globalKeyClass].DedupWindow = window
	h := newHarness(t, cfg, newEndpoints(8)...)
	id, _ := h.request(globalKeyClass)
	want := h.now + window
	changed := baseConfig()
	changed.Classes[globalKeyClass].DedupWindow = newWindow
	unchangedOrder := make([]int, len(cfg.Classes))
	for i := range unchangedOrder {
		unchangedOrder[i] = i
	}
	h.b.Reconfigure(changed, unchangedOrder, nil)
	h.now += 100
	if send := sendAction(t, h.dispatch(Outcome{Request: id, Result: ConnReset})); send.SendBy != want {
		t.Errorf("got a retry that must arrive by %v, want %v", send.SendBy, want)
	}
}

// The program at an endpoint may read a long body long after its machine has accepted the bytes. A retry of a long body
// is therefore not sent if it takes as long as the attempt before it, and would be read after the dedup window.
func TestLongBodyIsRetriedOnlyIfItIsReadInTime(t *testing.T) {
	const window, untilReset = 500, 50
	for _, test := range []struct {
		upload Milliseconds // how long the first attempt took to send the body
		want   bool
	}{
		{upload: 100, want: true},
		{upload: 1000, want: false},
	} {
		cfg := baseConfig()
		cfg.Classes[globalKeyClass].DedupWindow = window
		h := newHarness(t, cfg, newEndpoints(8)...)
		const id = RequestID(1)
		h.dispatch(Request{ID: id, Class: globalKeyClass, Remaining: 1000, Uploading: true})
		h.now += test.upload
		h.dispatch(UploadComplete{Request: id, Remaining: 1000})
		h.now += untilReset
		actions := h.dispatch(Outcome{Request: id, Result: ConnReset, Duration: untilReset})
		if got := hasAction(actions, SendAttempt); got != test.want {
			t.Errorf("body that took %v ms to send: got a retry: %t, want %t", test.upload, got, test.want)
		}
	}
}
