package balance

import "testing"

// Half of the endpoints fail all requests of a non-idempotent class, which cannot be retried. The successes of
// the other class clear their errors. The failing class has to prefer the endpoints that serve it, while the
// other class uses all endpoints. After the failure, it uses all endpoints again, too.
func TestClassUsesEndpointsThatServeIt(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	failsClass := func(target EndpointID) bool { return target%2 == 0 }
	serve := func(class int, duringFailure bool) (target EndpointID, failed bool) {
		h.now += 60
		id, actions := h.request(class)
		target, ok := sendTarget(actions)
		if !ok {
			return 0, false
		}
		h.now += 150
		if duringFailure && class == nonIdempotentClass && failsClass(target) {
			h.finishAttempt(id, 0, ServerError, 40)
			return target, true
		}
		h.finishAttempt(id, 0, OK, 40)
		return target, false
	}
	usedByOtherClass := map[EndpointID]bool{}
	failureCount := 0
	for i := range 120 {
		_, failed := serve(nonIdempotentClass, true)
		if i >= 60 && failed {
			failureCount++
		}
		target, _ := serve(idempotentClass, true)
		usedByOtherClass[target] = true
	}
	if failureCount > 8 { // consecutive errors alone would lead to 14
		t.Errorf("got %d failures in the last 60 requests of the failing class, want at most 8", failureCount)
	}
	if len(usedByOtherClass) < 12 {
		t.Errorf("the other class used %d endpoints, want all 12", len(usedByOtherClass))
	}
	usedAfterFailure := map[EndpointID]bool{}
	for range 400 {
		target, _ := serve(nonIdempotentClass, false)
		usedAfterFailure[target] = true
	}
	if len(usedAfterFailure) < 12 {
		t.Errorf("after the failure, the class used %d endpoints, want all 12", len(usedAfterFailure))
	}
}

// An endpoint never responds to one class but serves another, whose successes clear its errors. It has to lose
// its share of the requests of that class only.
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
	for _, c := range []struct{ class, minCount, maxCount int }{{idempotentClass, 0, 4}, {globalKeyClass, 6, 14}} {
		count := 0
		for range 40 {
			id, actions := h.request(c.class)
			if target, _ := sendTarget(actions); target == failing {
				count++
			}
			h.finishAttempt(id, 0, OK, 30)
		}
		if count < c.minCount || count > c.maxCount {
			t.Errorf("the endpoint got %d of 40 requests of class %d, want %d to %d", count, c.class, c.minCount, c.maxCount)
		}
	}
}
