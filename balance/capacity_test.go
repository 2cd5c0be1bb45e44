package balance

import (
	"fmt"
	"testing"
)

// Endpoints that are twice as fast are found to have more capacity, and so is their machine type.
func TestCapacityIsLearned(t *testing.T) {
	endpoints := newEndpoints(4)
	endpoints[2].MachineType, endpoints[3].MachineType = 1, 1
	h := newHarness(t, baseConfig(), endpoints...)
	hits := map[EndpointID]int{}
	for range 1500 {
		id, actions := h.request(idempotentClass)
		target, _ := sendTarget(actions)
		hits[target]++
		h.now += 5
		h.finishAttempt(id, 0, OK, map[bool]Milliseconds{true: 20, false: 40}[target > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("hits %v", hits)
	}
	if h.b.endpoints.machineTypes[1].logarithm <= h.b.endpoints.machineTypes[0].logarithm {
		t.Fatalf("machine types %v", h.b.endpoints.machineTypes)
	}
}

// Ten seconds have to tell fast machine types from slow ones also for an instance with a request a second.
// Learned by the number of responses it took fifty times longer, and slow endpoints stayed overloaded.
func TestLowTrafficInstanceLearnsCapacityInSeconds(t *testing.T) {
	list := newEndpoints(12)
	for i := range list {
		list[i].MachineType, list[i].Zone = i%2, 0
	}
	for _, gap := range []Milliseconds{10, 600} {
		t.Run(fmt.Sprintf("a request each %v ms", gap), func(t *testing.T) {
			h := newHarness(t, baseConfig(), list...)
			for end := h.now + 10000; h.now < end; h.now += gap {
				id, actions := h.request(idempotentClass)
				if target, ok := sendTarget(actions); ok {
					h.finishAttempt(id, 0, OK, []Milliseconds{100, 50}[h.b.endpoints.byID[target].MachineType])
				}
			}
			if fast, slow := h.b.endpoints.machineTypes[1].factor, h.b.endpoints.machineTypes[0].factor; fast < 1.2*slow {
				t.Errorf("a request each %v ms: machine types twice as fast have %.2f of the capacity of slow ones", gap, fast/slow)
			}
		})
	}
}
