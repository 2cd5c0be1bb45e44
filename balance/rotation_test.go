package balance

import (
	"fmt"
	"math"
	"testing"
)

// The rotation is smooth: an endpoint with a higher rating gets more requests, spread over the sequence.
func TestRotationFollowsWeights(t *testing.T) {
	endpoints := newEndpoints(3)
	endpoints[0].Rating = 5
	got := sendSequence(newHarness(t, baseConfig(), endpoints...), 7)
	want := []EndpointID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got sequence %v, want %v", got, want)
		}
	}
}

// A first attempt follows the rotation. A retry goes to the healthiest endpoint that the request has not tried,
// regardless of the rotation.
func TestRetryUsesHealthiestUnusedEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, ep := range h.b.endpoints.list {
		ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 2, h.now
	}
	h.b.endpoints.list[2].outlier.consecutiveErrors = 1
	h.b.endpoints.list[1].rotation.credit = 1000 // next in the rotation, although not the healthiest
	id, actions := h.request(idempotentClass)
	if target, _ := sendTarget(actions); target != 2 {
		t.Fatalf("first attempt went to endpoint %d, want 2", target)
	}
	h.b.endpoints.list[3].rotation.credit = 1000 // next in the rotation, which must not matter for a retry
	if target, ok := sendTarget(h.finishAttempt(id, 0, Rejected, 1)); !ok || target != 3 {
		t.Fatalf("retry went to endpoint %d (sent: %v), want 3", target, ok)
	}
}

// When all endpoints have far more than their share of the requests in flight, a first attempt goes to the
// endpoint with the lowest load per weight, while a retry still goes to the healthiest endpoint. If any endpoint
// is not above its share, the rotation decides.
func TestFirstAttemptUsesLeastLoadedWhenAllAreOverloaded(t *testing.T) {
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
				ep.load.inFlight, ep.rotation.credit = c.inFlight[i], float64(10*(4-i))
			}
			h.b.endpoints.list[1].outlier.consecutiveErrors, h.b.endpoints.list[1].outlier.lastErrorAt = 1, h.now-5000
			req := &request{class: &h.b.cfg.Classes[idempotentClass], stats: h.b.classes[idempotentClass]}
			if c.want == 2 {
				if ep := h.b.pickEndpoint(req, retryAttempt); ep.ID == 2 {
					t.Errorf("in flight %v: retry went to endpoint 2, which has the lowest health", c.inFlight)
				}
				for i, ep := range h.b.endpoints.list {
					ep.rotation.credit = float64(10 * (4 - i))
				}
			}
			if ep := h.b.pickEndpoint(req, firstAttempt); ep.ID != c.want {
				t.Errorf("in flight %v: first attempt went to endpoint %d, want %d", c.inFlight, ep.ID, c.want)
			}
		})
	}
}

// A draining endpoint, or one that is missing from a snapshot, gets no new requests.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	first := newEndpoints(1)[0]
	first.State = Draining
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{first}})
	for range 20 {
		id, actions := h.request(idempotentClass)
		if target, _ := sendTarget(actions); target != 2 {
			t.Fatalf("request went to endpoint %d while endpoint 1 is draining, want 2", target)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	first.State = Ready
	h.dispatch(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{first}}) // without endpoint 2: it is gone
	id, actions := h.request(idempotentClass)
	if target, _ := sendTarget(actions); target != 1 {
		t.Fatalf("request %d went to endpoint %d, want 1", id, target)
	}
}

// If requests to other zones have a cost, the local zone gets more requests, but the other zones still get a
// share.
func TestLocalZoneIsPreferredWhenCrossZoneCosts(t *testing.T) {
	for cost, minLocal := range map[float64]int{0: 10, 0.05: 25} {
		t.Run(fmt.Sprintf("cost %v", cost), func(t *testing.T) {
			cfg := baseConfig()
			cfg.Costs.CrossZone, cfg.Zone = cost, 1
			h := newHarness(t, cfg, newEndpoints(8)...)
			local := 0
			for _, target := range sendSequence(h, 40) {
				if target > 4 {
					local++
				}
			}
			if local < minLocal || local > 38 || cost == 0 && local != 20 {
				t.Errorf("cost %v: %d of 40 requests in the local zone, want %d to 38, and 20 without a cost",
					cost, local, minLocal)
			}
		})
	}
}

// A cross-zone cost of 0.005 hardly changes the shares of the zones. Otherwise a zone with more traffic than its
// endpoints can serve would be overloaded to avoid this small cost.
func TestSmallCrossZoneCostHasSmallEffect(t *testing.T) {
	cfg := baseConfig()
	cfg.Costs.CrossZone, cfg.Zone = 0.005, 1
	h := newHarness(t, cfg, newEndpoints(8)...)
	local := 0
	for _, target := range sendSequence(h, 70) {
		if target > 4 {
			local++
		}
	}
	if local < 35 || local > 45 {
		t.Errorf("%d of 70 requests in the local zone, want 35 to 45", local)
	}
}

// The instances together follow the weights from their first requests, even while open connections change the
// weights. When the initial rotation credits were close together, instances with few requests used only the
// endpoints with the highest rating.
func TestFirstAttemptsFollowWeights(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, 0.03
	endpoints := newEndpoints(30)
	for i := range endpoints[:15] {
		endpoints[i].Rating = 2
	}
	for _, requests := range []int{1, 8} {
		toDoubleRating, total := 0, 0
		for seed := range uint64(300) {
			cfg.Seed = seed + 1
			h := newHarness(t, cfg, endpoints...)
			h.randomizeRotation()
			for _, target := range sendSequence(h, requests) {
				if total++; target <= 15 {
					toDoubleRating++
				}
			}
		}
		if fraction := float64(toDoubleRating) / float64(total); fraction < 0.57 || fraction > 0.77 {
			t.Errorf("%d requests per instance: %.2f went to endpoints of double rating, want 0.57 to 0.77",
				requests, fraction)
		}
	}
}

// If new connections have a cost, healthy endpoints with an open connection are preferred, because a new connection
// for each request costs and fills the connection tables of endpoints. Without a cost, the rotation is even.
func TestOpenConnectionsAreReused(t *testing.T) {
	for cost, maxUsed := range map[float64]int{0: 20, 0.08: 6} {
		cfg := baseConfig()
		cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, cost
		h := newHarness(t, cfg, newEndpoints(20)...)
		used := map[EndpointID]bool{}
		for _, target := range sendSequence(h, 20) {
			used[target] = true
		}
		if len(used) > maxUsed || cost == 0 && len(used) < 20 {
			t.Errorf("cost %v: 20 requests used %d endpoints, want %d at most, and 20 without a cost",
				cost, len(used), maxUsed)
		}
	}
	cfg := baseConfig()
	cfg.ConnIdleTimeout, cfg.Costs.NewConnection = 10000, 0.08
	h := newHarness(t, cfg, newEndpoints(4)...)
	ep := h.b.endpoints.list[0]
	unconnected := h.b.affinityFactor(ep)
	ep.activity.lastSentAt = h.now
	if got := h.b.affinityFactor(ep); got < 10*unconnected {
		t.Errorf("got affinity factor %v with an open connection, want %v or more", got, 10*unconnected)
	}
	ep.outlier.consecutiveErrors, ep.outlier.lastErrorAt = 1, longAgo
	if got := h.b.affinityFactor(ep); got != unconnected {
		t.Errorf("got affinity factor %v after an error, want %v as without a connection", got, unconnected)
	}
	ep.outlier.consecutiveErrors = 0
	h.b.now += cfg.ConnIdleTimeout
	if got := h.b.affinityFactor(ep); got != unconnected {
		t.Errorf("got affinity factor %v after the idle timeout, want %v as without a connection", got, unconnected)
	}
}

// While attempts fail to connect, an instance prefers endpoints with an open connection. Otherwise a thousand
// instances with a connection to each endpoint fill the connection tables, and a third of the attempts cannot
// connect.
func TestConnectFailuresPreferOpenConnections(t *testing.T) {
	cfg := baseConfig()
	cfg.ConnIdleTimeout = 15000
	usedEndpoints := func(connectFailureFraction float64) int {
		h := newHarness(t, cfg, newEndpoints(16)...)
		h.randomizeRotation()
		sendSequence(h, 6)
		for _, ep := range h.b.endpoints.list {
			ep.rotation.credit = 0 // otherwise unused endpoints would be first
		}
		used := map[EndpointID]bool{}
		for range 12 {
			h.now += 20
			h.b.connectFailures.fraction = connectFailureFraction
			id, actions := h.request(idempotentClass)
			if target, ok := sendTarget(actions); ok {
				used[target] = true
				h.finishAttempt(id, 0, OK, 20)
			}
		}
		return len(used)
	}
	// Without this preference, both are 12.
	if normal, failing := usedEndpoints(0), usedEndpoints(0.6); failing > 8 || normal < 10 {
		t.Errorf("%d endpoints used while connections fail, want 8 at most; %d otherwise, want 10 or more",
			failing, normal)
	}
}

// The initial credit of a new endpoint is relative to the present credits of the others. Credits fall while
// endpoints wait for slow-start tokens, so an endpoint with a fixed initial credit was picked first by all
// instances at the same time.
func TestNewEndpointIsNotFirstAtAllInstances(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed = seed + 1
		h := newHarness(t, cfg, newEndpoints(20)...)
		h.randomizeRotation()
		sendSequence(h, 20)
		for _, ep := range h.b.endpoints.list {
			ep.rotation.credit -= 0.6
		}
		sendSequence(h, 5)
		h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: 99, Rating: 1}}})
		if sendSequence(h, 1)[0] == 99 {
			first++
		}
	}
	if first > 30 { // an even share is 10
		t.Fatalf("%d of 200 instances used the new endpoint first, want 30 at most", first)
	}
}

// While all endpoints are ejected, the sum of their weights is 0. If that turned rotation credits into NaN, the
// first endpoint would get all later requests.
func TestRotationContinuesAfterAllWereEjected(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, ep := range h.b.endpoints.list {
		ep.outlier.eject(h.now)
	}
	sendSequence(h, 1)
	h.now += 60000
	used := map[EndpointID]int{}
	for _, target := range sendSequence(h, 30) {
		used[target]++
	}
	for id := EndpointID(1); id <= 3; id++ {
		if ep := h.b.endpoints.byID[id]; math.IsNaN(ep.rotation.credit) || used[id] < 5 {
			t.Errorf("endpoint %d: got %d of 30 requests and rotation credit %v, want 5 or more and a number",
				id, used[id], ep.rotation.credit)
		}
	}
}

// Instances that start together differ by seed in their first endpoint and in the delay of their polls. Otherwise
// all of them would use the same endpoint and poll discovery at the same time.
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
			t.Errorf("%d of 300 instances used endpoint %d first, want 30 at most", n, id)
		}
	}
	if len(first) < 25 || len(delays) < 15 {
		t.Errorf("got %d first endpoints and %d delays in steps of 10 ms, want 25 and 15 or more",
			len(first), len(delays))
	}
}
