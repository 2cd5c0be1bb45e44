package balance

import "testing"

// Half of the endpoints fail all requests of one class and serve the others, whose successes clear the
// errors. The class, which must not be retried, has to use endpoints known to serve it, the other class goes
// on using all of them, and the first returns to all after the failure.
func TestClassUsesEndpointsThatServeIt(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	failing := func(target EndpointID) bool { return target%2 == 0 }
	serve := func(class int, fails bool) (EndpointID, bool) {
		h.now += 60
		id, actions := h.request(class)
		target, ok := sendTarget(actions)
		if !ok {
			return 0, false
		}
		h.now += 150
		if fails && class == nonIdempotentClass && failing(target) {
			h.finishAttempt(id, 0, ServerError, 40)
			return target, true
		}
		h.finishAttempt(id, 0, OK, 40)
		return target, false
	}
	used := map[EndpointID]bool{}
	failed := 0
	for i := range 120 {
		_, f := serve(nonIdempotentClass, true)
		if i >= 60 && f {
			failed++
		}
		target, _ := serve(idempotentClass, true)
		used[target] = true
	}
	if failed > 8 { // 14 by consecutive errors alone
		t.Errorf("%d of the last 60 failed", failed)
	}
	if len(used) < 12 {
		t.Errorf("the other class used %d of 12 endpoints", len(used))
	}
	back := map[EndpointID]bool{}
	for range 400 {
		target, _ := serve(nonIdempotentClass, false)
		back[target] = true
	}
	if len(back) < 12 {
		t.Errorf("after the failure %d of 12 endpoints are used", len(back))
	}
}

// An endpoint that loses the responses of one class and serves the others must lose its share of that class
// only, although successes of other classes clear its errors.
func TestClassAvoidsEndpointThatLosesItsResponses(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, class := range []int{idempotentClass, globalKeyClass} {
		for range 8 {
			id, _ := h.request(class)
			h.finishAttempt(id, 0, OK, 30)
		}
	}
	lost, actions := h.request(idempotentClass)
	failing, _ := sendTarget(actions)
	h.now += 10
	var others []RequestID
	for range 20 {
		id, _ := h.request(globalKeyClass)
		others = append(others, id)
	}
	for _, id := range others {
		h.finishAttempt(id, 0, OK, 30)
	}
	h.now += 100
	h.dispatch(TimerFired{Token: uint64(lost)})
	h.finishAttempt(lost, 0, Cancelled, 110)
	h.finishAttempt(lost, 1, OK, 30)
	id, _ := h.request(globalKeyClass)
	h.finishAttempt(id, 0, OK, 30)
	for _, c := range []struct{ class, least, most int }{{idempotentClass, 0, 4}, {globalKeyClass, 6, 14}} {
		n := 0
		for range 40 {
			id, actions := h.request(c.class)
			if to, _ := sendTarget(actions); to == failing {
				n++
			}
			h.finishAttempt(id, 0, OK, 30)
		}
		if n < c.least || n > c.most {
			t.Errorf("%d of 40 of class %d at the endpoint, want %d to %d", n, c.class, c.least, c.most)
		}
	}
}
