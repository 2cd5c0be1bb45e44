package balance

import (
	"fmt"
	"testing"
)

// Endpoints that respond twice as fast get more requests, and their machine type gets a higher capacity factor.
func TestCapacityIsLearned(t *testing.T) {
	endpoints := newEndpoints(4)
	endpoints[2].MachineType, endpoints[3].MachineType = 1, 1
	h := newHarness(t, baseConfig(), endpoints...)
	requests := map[EndpointID]int{}
	for range 1500 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(actions)
		requests[target]++
		h.now += 5
		h.finishAttempt(id, 0, OK, map[bool]Milliseconds{true: 20, false: 40}[target > 2])
	}
	if fast, slow := requests[3]+requests[4], requests[1]+requests[2]; fast < 3*slow/2 {
		t.Fatalf("endpoints 3 and 4, which are fast, got %d requests, want %d or more: %v", fast, 3*slow/2, requests)
	}
	if fast, slow := h.b.endpoints.machineTypes[1], h.b.endpoints.machineTypes[0]; fast.logarithm <= slow.logarithm {
		t.Fatalf("got capacity factor %v for the fast machine type, want more than %v of the slow one", *fast, *slow)
	}
}

// Within 10 s, even an instance with little traffic learns which machine types are fast. If the gain depended only
// on the number of responses, this would take fifty times longer, and slow endpoints would stay overloaded.
func TestLowTrafficInstanceLearnsCapacityInSeconds(t *testing.T) {
	list := newEndpoints(12)
	for i := range list {
		list[i].MachineType, list[i].Zone = i%2, 0
	}
	for _, interval := range []Milliseconds{10, 600} {
		t.Run(fmt.Sprintf("a request each %v ms", interval), func(t *testing.T) {
			h := newHarness(t, baseConfig(), list...)
			for end := h.now + 10000; h.now < end; h.now += interval {
				id, actions := h.request(idempotentClass)
				if target, ok := sendTarget(actions); ok {
					h.finishAttempt(id, 0, OK, []Milliseconds{100, 50}[h.b.endpoints.byID[target].MachineType])
				}
			}
			fast, slow := h.b.endpoints.machineTypes[1].factor, h.b.endpoints.machineTypes[0].factor
			if fast < 1.2*slow {
				t.Errorf("a request each %v ms: fast machine type has %.2f times the capacity, want 1.2 or more",
					interval, fast/slow)
			}
		})
	}
}
