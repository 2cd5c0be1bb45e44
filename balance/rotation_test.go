package balance

import (
	"fmt"
	"math"
	"testing"
)

// The rotation is smooth: an endpoint with a larger rating gets more turns, spread over the sequence.
func TestRotationFollowsWeights(t *testing.T) {
	endpoints := newEndpoints(3)
	endpoints[0].Rating = 5
	got := sendSequence(newHarness(t, baseConfig(), endpoints...), 7)
	want := []EndpointID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

// A first attempt follows the rotation; a retry goes to the healthiest endpoint that the request has not used
// yet, whatever the rotation says.
func TestRetryUsesHealthiestUnusedEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, ep := range h.b.endpoints.list {
		ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 2, h.now
	}
	h.b.endpoints.list[2].outlier.consecutiveErrors = 1
	h.b.endpoints.list[1].rotation.value = 1000 // next in the rotation, though it is not the healthiest
	id, actions := h.request(idempotentClass)
	if target, _ := sendTarget(actions); target != 2 {
		t.Fatalf("first sent to %d, want 2", target)
	}
	h.b.endpoints.list[3].rotation.value = 1000 // next in the rotation, which must not count for a retry
	if target, ok := sendTarget(h.finishAttempt(id, 0, Rejected, 1)); !ok || target != 3 {
		t.Fatalf("retried at %d, want 3", target)
	}
}

// When each endpoint has far more than its share in flight a first attempt goes to the one with the least for
// its weight, while a retry still goes by health. As long as one is not above its share the rotation decides.
func TestFirstSendUsesLeastLoadedWhenAllAreOverloaded(t *testing.T) {
	for _, c := range []struct {
		name     string
		inFlight [4]int
		want     EndpointID
	}{
		{"all above their share", [4]int{4, 3, 4, 4}, 2},
		{"two not above their share", [4]int{4, 4, 1, 0}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(4)...)
			for i, ep := range h.b.endpoints.list {
				ep.load.inFlight, ep.rotation.value = c.inFlight[i], float64(10*(4-i))
			}
			h.b.endpoints.list[1].outlier.consecutiveErrors, h.b.endpoints.list[1].outlier.lastErrorAt = 1, h.now-5000
			req := &request{class: &h.b.cfg.Classes[idempotentClass], stats: h.b.classes[idempotentClass]}
			if c.want == 2 {
				if ep := h.b.pick(req, true); ep.ID == 2 {
					t.Errorf("%v: the retry went to the endpoint of lowest health", c.inFlight)
				}
				for i, ep := range h.b.endpoints.list {
					ep.rotation.value = float64(10 * (4 - i))
				}
			}
			if ep := h.b.pick(req, false); ep.ID != c.want {
				t.Errorf("%v: sent to %d, not %d", c.inFlight, ep.ID, c.want)
			}
		})
	}
}

// A draining endpoint, or one that a snapshot omits, gets no new requests.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	gone := newEndpoints(1)[0]
	gone.State = Draining
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{gone}})
	for range 20 {
		id, actions := h.request(idempotentClass)
		if target, _ := sendTarget(actions); target != 2 {
			t.Fatalf("sent to %d", target)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	gone.State = Ready
	h.dispatch(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{gone}}) // the other is omitted: it has gone
	id, actions := h.request(idempotentClass)
	if target, _ := sendTarget(actions); target != 1 {
		t.Fatalf("sent to %d of request %d", target, id)
	}
}

// Where requests to other zones have a cost the local zone gets more of them, and the others still get a
// share.
func TestLocalZoneIsPreferredWhenCrossZoneCosts(t *testing.T) {
	for price, least := range map[float64]int{0: 10, 0.05: 25} {
		t.Run(fmt.Sprintf("cost %v", price), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Costs.CrossZone, cfg.Zone = price, 1
			h := newHarness(t, cfg, newEndpoints(8)...)
			own := 0
			for _, target := range sendSequence(h, 40) {
				if target > 4 {
					own++
				}
			}
			if own < least || own > 38 || price == 0 && own != 20 {
				t.Errorf("cost %v: %d of 40 in the local zone", price, own)
			}
		})
	}
}

// A cost of half a point hardly changes the shares of zones: a zone with more traffic than endpoints must not
// be overloaded to avoid it.
func TestSmallCrossZoneCostHasSmallEffect(t *testing.T) {
	cfg := baseConfig()
	cfg.Costs.CrossZone, cfg.Zone = 0.005, 1
	h := newHarness(t, cfg, newEndpoints(8)...)
	own := 0
	for _, target := range sendSequence(h, 70) {
		if target > 4 {
			own++
		}
	}
	if own < 35 || own > 45 {
		t.Errorf("%d of 70 in the local zone", own)
	}
}

// From the first request on, instances together follow the weights, also while open connections change them.
// An instance with few requests used only the endpoints of the largest rating when rotation values started
// close together.
func TestFirstSendsFollowWeights(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, 0.03
	endpoints := newEndpoints(30)
	for i := range endpoints[:15] {
		endpoints[i].Rating = 2
	}
	for _, sends := range []int{1, 8} {
		large, all := 0, 0
		for seed := range uint64(300) {
			cfg.Seed = seed + 1
			h := newHarness(t, cfg, endpoints...)
			h.randomizeRotation()
			for _, target := range sendSequence(h, sends) {
				if all++; target <= 15 {
					large++
				}
			}
		}
		if part := float64(large) / float64(all); part < 0.57 || part > 0.77 {
			t.Errorf("of %d sends each, %.2f went to the endpoints of double rating, want about 0.67", sends, part)
		}
	}
}

// A new connection for each request has a cost and fills the connection tables of endpoints. Healthy
// endpoints with an open connection are reused; without a cost the rotation is even.
func TestOpenConnectionsAreReused(t *testing.T) {
	for price, most := range map[float64]int{0: 20, 0.08: 6} {
		cfg := baseConfig()
		cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, price
		h := newHarness(t, cfg, newEndpoints(20)...)
		used := map[EndpointID]bool{}
		for _, target := range sendSequence(h, 20) {
			used[target] = true
		}
		if len(used) > most || price == 0 && len(used) < 20 {
			t.Errorf("cost %v: %d endpoints used by 20 requests", price, len(used))
		}
	}
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, 0.08
	h := newHarness(t, cfg, newEndpoints(4)...)
	ep := h.b.endpoints.list[0]
	plain := h.b.affinityFactor(ep)
	ep.activity.lastSendAt = h.now
	if h.b.affinityFactor(ep) < 10*plain {
		t.Error("an open connection has no effect")
	}
	ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 1, longAgo
	if h.b.affinityFactor(ep) != plain {
		t.Error("an endpoint that just failed is preferred")
	}
	ep.outlier.consecutiveErrors = 0
	if h.b.now += cfg.ConnIdleTimeout; h.b.affinityFactor(ep) != plain {
		t.Error("a closed connection is preferred")
	}
}

// While connections fail an instance uses endpoints with an open one. A thousand instances with a connection
// to each endpoint filled the tables, and a third of the attempts got none.
func TestConnectFailuresKeepToOpenConnections(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout = 15000
	used := func(refusedPart float64) int {
		h := newHarness(t, cfg, newEndpoints(16)...)
		h.randomizeRotation()
		sendSequence(h, 6)
		for _, ep := range h.b.endpoints.list {
			ep.rotation.value = 0 // otherwise endpoints not used yet come first
		}
		seen := map[EndpointID]bool{}
		for range 12 {
			h.now += 20
			h.b.connectFailures.fraction = refusedPart
			id, actions := h.request(idempotentClass)
			if target, ok := sendTarget(actions); ok {
				seen[target] = true
				h.finishAttempt(id, 0, OK, 20)
			}
		}
		return len(seen)
	}
	if free, full := used(0), used(0.6); full > 8 || free < 10 { // 12 each without this preference
		t.Errorf("%d endpoints used while connections fail, %d otherwise", full, free)
	}
}

// A new endpoint enters the rotation at the present level of the others. Rotation values fall while endpoints
// wait for their slow start budget, and one that entered at a fixed level was first at all instances at once.
func TestNewEndpointIsNotFirstAtAllInstances(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed = seed + 1
		h := newHarness(t, cfg, newEndpoints(20)...)
		h.randomizeRotation()
		sendSequence(h, 20)
		for _, ep := range h.b.endpoints.list {
			ep.rotation.value -= 0.6
		}
		sendSequence(h, 5)
		h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 99, Rating: 1}}})
		if sendSequence(h, 1)[0] == 99 {
			first++
		}
	}
	if first > 30 { // an even share is 10
		t.Fatalf("%d of 200 instances sent to the new endpoint first", first)
	}
}

// While all endpoints are ejected the sum of weights is 0, which must not turn rotation values into NaN: from
// then on the first endpoint would get all requests.
func TestRotationContinuesAfterAllWereEjected(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, ep := range h.b.endpoints.list {
		h.b.eject(ep)
	}
	sendSequence(h, 1)
	h.now += 60000
	used := map[EndpointID]int{}
	for _, target := range sendSequence(h, 30) {
		used[target]++
	}
	for id := EndpointID(1); id <= 3; id++ {
		if ep := h.b.endpoints.byID[id]; math.IsNaN(ep.rotation.value) || used[id] < 5 {
			t.Errorf("endpoint %d: %d of 30 requests, rotation value %v", id, used[id], ep.rotation.value)
		}
	}
}

// Instances that start together differ by seed in their first endpoint and in the delay of their polls, or
// all of them would use one endpoint and poll the discovery at once.
func TestInstancesThatStartTogetherDiverge(t *testing.T) {
	cfg := baseConfig()
	cfg.InstanceCount, cfg.PolledDiscovery = 1500, true
	first, delays := map[EndpointID]int{}, map[float64]bool{}
	for n := range 300 {
		cfg.Seed, cfg.InstanceIndex = uint64(n+1), n
		h := newHarness(t, cfg, newEndpoints(30)...)
		h.randomizeRotation()
		first[sendSequence(h, 1)[0]]++
		delays[math.Round(float64(h.dispatch(EndpointUpdate{Kind: UpdateFailed})[0].Delay/10))] = true
	}
	for id, n := range first {
		if n > 30 { // an even share is 10
			t.Errorf("%d of 300 instances choose endpoint %d first", n, id)
		}
	}
	if len(first) < 25 || len(delays) < 15 {
		t.Errorf("%d first endpoints, %d delays in steps of 10 ms", len(first), len(delays))
	}
}
