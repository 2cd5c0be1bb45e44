package balance

import "testing"

// In a large fleet, the requests for a key go to a few endpoints, the same at all instances. Otherwise each endpoint
// would evict the key from its cache before it gets the next request for it.
func TestStickyKeyUsesFewEndpoints(t *testing.T) {
	all := newInstances(t, 40, newZonedEndpoints(60))
	at := map[uint64]map[EndpointID]bool{}
	sent := map[EndpointID]int{}
	for round := range 100 {
		for i, h := range all {
			key := uint64(1 + (round*7+i*31)%200) // each instance gets many keys, each of them rarely
			target := h.serveKey(key)
			if at[key] == nil {
				at[key] = map[EndpointID]bool{}
			}
			at[key][target] = true
			sent[target]++
		}
	}
	for key, endpoints := range at {
		if len(endpoints) > endpointsPerStickyKey {
			t.Errorf("requests for key %d went to %d endpoints, want %d at most",
				key, len(endpoints), endpointsPerStickyKey)
		}
	}
	for id, n := range sent {
		if mean := 4000 / 60; n > 4*mean {
			t.Errorf("endpoint %x got %d of 4000 requests, want %d at most (mean %d)", id, n, 4*mean, mean)
		}
	}
	if len(sent) < 55 {
		t.Errorf("%d of 60 endpoints got requests for 200 keys, want 55 or more", len(sent))
	}
}

// A hot key with a fifth of all requests would overload a few of 60 endpoints. It uses so many endpoints that it is
// only a fraction of the requests of each, and the other keys stay at their endpoints.
func TestHotKeyUsesMoreEndpoints(t *testing.T) {
	all := newInstances(t, 40, newZonedEndpoints(60))
	hot, rare := map[EndpointID]int{}, map[uint64]map[EndpointID]bool{}
	hotRequests := 0
	for round := range 300 {
		for i, h := range all {
			key := uint64(2 + (round*7+i*31)%200)
			if (round+i)%5 == 0 {
				key = 1
			}
			target := h.serveKey(key)
			if key != 1 {
				if rare[key] == nil {
					rare[key] = map[EndpointID]bool{}
				}
				rare[key][target] = true
			} else if round >= 150 { // by then the instances have learned that the key is hot
				hot[target]++
				hotRequests++
			}
		}
	}
	mean := float64(hotRequests) * 5 / 60 // requests for all keys per endpoint since round 150
	for id, got := range hot {
		if float64(got) > 0.5*mean {
			t.Errorf("endpoint %x got %d requests for the hot key, want %.0f at most (mean for all keys: %.0f)",
				id, got, 0.5*mean, mean)
		}
	}
	for key, endpoints := range rare {
		if len(endpoints) > endpointsPerStickyKey+2 { // two keys may share a bucket of the key counter
			t.Errorf("requests for key %d went to %d endpoints, want %d at most",
				key, len(endpoints), endpointsPerStickyKey+2)
		}
	}
}

// The loss of a zone moves only the keys of its endpoints. All other keys keep their endpoints.
func TestZoneLossMovesOnlyItsOwnKeys(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	h := newInstances(t, 1, endpoints)[0]
	const keys = 200
	endpointsByKey := func() map[uint64]map[EndpointID]bool {
		at := map[uint64]map[EndpointID]bool{}
		for i := range 2 * keys {
			key := 1 + uint64(i%keys)
			if at[key] == nil {
				at[key] = map[EndpointID]bool{}
			}
			for range 2 * endpointsPerStickyKey {
				at[key][h.serveKey(key)] = true
			}
		}
		return at
	}
	for i := range 5 * keys { // so that no key looks hot
		h.serveKey(1 + uint64(i%keys))
	}
	before := endpointsByKey()
	lost := map[EndpointID]bool{}
	for i := range endpoints {
		if endpoints[i].Zone == 1 {
			lost[endpoints[i].ID] = true
			h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: endpoints[i].ID, State: Gone}}})
		}
	}
	for key, at := range endpointsByKey() {
		for target := range before[key] {
			if !lost[target] && !at[target] {
				t.Fatalf("key %d moved away from endpoint %x, which is still listed", key, target)
			}
		}
	}
}

// In a small fleet, sticky keys have no effect, because each endpoint caches all keys anyway: the rotation over all
// endpoints is even.
func TestSmallFleetUsesAllEndpointsForAKey(t *testing.T) {
	h := newInstances(t, 1, newZonedEndpoints(9))[0]
	sent := map[EndpointID]int{}
	for range 90 {
		sent[h.serveKey(7)]++
	}
	for id, n := range sent {
		if n != 10 {
			t.Errorf("endpoint %x got %d of 90 requests for one key, want 10", id, n)
		}
	}
	if len(sent) != 9 {
		t.Errorf("%d endpoints got requests, want 9", len(sent))
	}
}

// A hot key can overload its sticky endpoint, which only slow responses show. Instances then use other endpoints of
// the key for a limited time, and return to the endpoint when it is fast again.
func TestOverloadedStickyEndpointIsAvoided(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	before, during, after := 0, 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		overloadedID := endpoints[7].ID
		attemptsWithin := func(duration Milliseconds) int {
			start := sim.sent[overloadedID]
			sim.run(sim.now+duration, 10)
			return sim.sent[overloadedID] - start
		}
		before += attemptsWithin(10000)
		sim.latency = func(id EndpointID) Milliseconds {
			if id == overloadedID {
				return 500 // of the 1200 ms that clients wait
			}
			return 5
		}
		during += attemptsWithin(10000)
		sim.latency = func(EndpointID) Milliseconds { return 5 }
		attemptsWithin(2000)
		after += attemptsWithin(10000)
	}
	if during > before/2 {
		t.Errorf("the overloaded endpoint got %d attempts, %d before: want half of that at most", during, before)
	}
	if after < before/3 {
		t.Errorf("the recovered endpoint got %d attempts, %d before the overload: want a third of that or more",
			after, before)
	}
}

// When most endpoints restart at once, each of them gets requests in proportion to its capacity. Its weight among
// the endpoints of a key already ensures this, so slow start must not reduce its number of keys, too.
func TestEndpointsInSlowStartKeepTheirKeys(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	toRestarted, total := 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		sim.run(sim.now+2000, 20)
		restarted := make([]Endpoint, 36)
		for j := range restarted {
			restarted[j] = endpoints[j]
			restarted[j].StartedAt = sim.now
		}
		sim.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: restarted})
		sim.run(sim.now+5000, 20) // the first quarter of slow start
		clear(sim.sent)
		sim.run(sim.now+5000, 20)
		for _, ep := range endpoints {
			total += sim.sent[ep.ID]
		}
		for _, ep := range restarted {
			toRestarted += sim.sent[ep.ID]
		}
	}
	fullCapacity := 24.0
	restartedCapacity := 36 * 0.5 // mean capacity in these 5 s, relative to an endpoint that has not restarted
	got, capacityFraction := float64(toRestarted)/float64(total), restartedCapacity/(restartedCapacity+fullCapacity)
	if got < capacityFraction*0.8 || got > capacityFraction*1.3 {
		t.Errorf("endpoints in slow start got %.2f of the attempts, want %.2f to %.2f (their capacity: %.2f)",
			got, capacityFraction*0.8, capacityFraction*1.3, capacityFraction)
	}
}
