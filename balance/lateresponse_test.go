package balance

import "testing"

// An attempt awaits the rest of a response when the deadline passes. Without a length, it may take
// LateResponseGrace to decide whether the response can be forwarded, and no new attempt may be made. In all
// other cases the request ends at its deadline.
func TestRequestOutlivesDeadlineOnlyForUnknownLength(t *testing.T) {
	for _, lengthUnknown := range []bool{true, false} {
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		id, _ := h.request(idempotentClass)
		h.dispatch(ResponseStarted{Request: id, LengthUnknown: lengthUnknown})
		deadline := h.b.requests[id].deadline
		h.now = deadline
		actions := h.dispatch(TimerFired{Token: uint64(id)})
		if ended := hasAction(actions, RejectRequest); ended == lengthUnknown || hasAction(actions, SendAttempt) {
			t.Errorf("at the deadline, length unknown %v: got %v", lengthUnknown, actions)
		}
		if !lengthUnknown {
			continue
		}
		h.now = deadline + LateResponseGrace + lateResponseSlack
		if actions := h.dispatch(TimerFired{Token: uint64(id)}); !hasAction(actions, RejectRequest) {
			t.Errorf("after the grace: got %v, want a rejection", actions)
		}
	}
}

// An attempt fails after the deadline, while it awaited the rest of a response without a length. The request
// ends at once.
func TestRequestEndsWithLateAttempt(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := h.request(idempotentClass)
	h.dispatch(ResponseStarted{Request: id, LengthUnknown: true})
	h.now = h.b.requests[id].deadline + LateResponseGrace/2
	actions := h.finishAttempt(id, 0, ConnReset, 30)
	if !hasAction(actions, RejectRequest) || hasAction(actions, SendAttempt) {
		t.Errorf("got %v, want a rejection and no attempt", actions)
	}
}
