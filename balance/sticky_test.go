package balance

import "testing"

// An endpoint does less work for a key that it served lately. In a large fleet a key stays at a few
// endpoints, the same for all instances, or each has evicted it before it comes again.
func TestStickyKeyUsesFewEndpoints(t *testing.T) {
	all := newInstances(t, 40, newZonedEndpoints(60))
	at := map[uint64]map[EndpointID]bool{}
	sent := map[EndpointID]int{}
	for round := range 100 {
		for i, h := range all {
			key := uint64(1 + (round*7+i*31)%200) // each instance gets many keys, and none of them often
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
			t.Errorf("key %d went to %d endpoints: want %d at most", key, len(endpoints), endpointsPerStickyKey)
		}
	}
	for id, n := range sent {
		if mean := 4000 / 60; n > 4*mean {
			t.Errorf("endpoint %x got %d of 4000 requests: the mean is %d", id, n, mean)
		}
	}
	if len(sent) < 55 {
		t.Errorf("%d of 60 endpoints got any of 200 keys", len(sent))
	}
}

// A key with a fifth of all requests would overload a few endpoints of sixty. It uses so many that none gets
// more than a part of its share by this key, and other keys stay where they are.
func TestHotKeyUsesMoreEndpoints(t *testing.T) {
	all := newInstances(t, 40, newZonedEndpoints(60))
	hot, rare := map[EndpointID]int{}, map[uint64]map[EndpointID]bool{}
	n := 0
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
			} else if round >= 150 { // by then the traffic of the key is known
				hot[target]++
				n++
			}
		}
	}
	mean := float64(n) * 5 / 60 // of all requests since then
	for id, got := range hot {
		if float64(got) > 0.5*mean {
			t.Errorf("endpoint %x got %d requests of one key: its share of all is %.0f", id, got, mean)
		}
	}
	for key, endpoints := range rare {
		if len(endpoints) > endpointsPerStickyKey+2 { // two keys may share a counter
			t.Errorf("key %d went to %d endpoints: want %d at most", key, len(endpoints), endpointsPerStickyKey)
		}
	}
}

// The loss of a zone moves only the keys of its endpoints.
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
	for i := range 5 * keys { // no key is a large part of the traffic
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
				t.Fatalf("key %d left endpoint %x, which is still there", key, target)
			}
		}
	}
}

// A small fleet caches all keys anyway, and the rotation over all its endpoints stays even.
func TestSmallFleetUsesAllEndpointsForAKey(t *testing.T) {
	h := newInstances(t, 1, newZonedEndpoints(9))[0]
	sent := map[EndpointID]int{}
	for range 90 {
		sent[h.serveKey(7)]++
	}
	for id, n := range sent {
		if n != 10 {
			t.Errorf("endpoint %x got %d of 90 requests of one key: want 10", id, n)
		}
	}
	if len(sent) != 9 {
		t.Errorf("%d of 9 endpoints got any", len(sent))
	}
}

// A popular key may overload its sticky endpoint, which only slow responses show. Instances use another
// endpoint of the key for a while and return when the first is fast again.
func TestOverloadedStickyEndpointIsAvoided(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	before, overloaded, after := 0, 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		busy := endpoints[7].ID
		sent := func(span Milliseconds) int {
			start := sim.sent[busy]
			sim.run(sim.now+span, 10)
			return sim.sent[busy] - start
		}
		before += sent(10000)
		sim.latency = func(id EndpointID) Milliseconds {
			if id == busy {
				return 250
			}
			return 5
		}
		overloaded += sent(10000)
		sim.latency = func(EndpointID) Milliseconds { return 5 }
		sent(2000)
		after += sent(10000)
	}
	if overloaded > before/2 {
		t.Errorf("the overloaded endpoint got %d requests, %d before", overloaded, before)
	}
	if after < before/3 {
		t.Errorf("the endpoint got %d requests when it was fast again, %d before", after, before)
	}
}

// When most endpoints are replaced at once a new one gets requests in proportion to its capacity. Its weight
// already sees to that among the endpoints of a key, so it must not get fewer keys as well.
func TestWarmingUpEndpointsKeepTheirKeys(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	const instances = 20
	toNew, all := 0, 0
	for i := range instances {
		sim := newInstanceSimulation(t, i, instances, endpoints)
		sim.run(sim.now+2000, 20)
		replaced := make([]Endpoint, 36)
		for j := range replaced {
			replaced[j] = endpoints[j]
			replaced[j].StartedAt = sim.now
		}
		sim.handle(EndpointUpdate{Kind: UpdateDelta, Endpoints: replaced})
		sim.run(sim.now+5000, 20) // two fifths of the warm-up
		clear(sim.sent)
		sim.run(sim.now+5000, 20)
		for _, s := range endpoints {
			all += sim.sent[s.ID]
		}
		for _, s := range replaced {
			toNew += sim.sent[s.ID]
		}
	}
	warm := 24.0
	able := 36 * 0.5 // mean capacity in these 5 s, relative to a warm endpoint
	if got, part := float64(toNew)/float64(all), able/(able+warm); got < part*0.8 || got > part*1.3 {
		t.Errorf("endpoints that warm up got %.2f of the requests, their capacity is %.2f", got, part)
	}
}
