package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// An endpoint that could not be reached and then responds has restarted, whatever the discovery says: it is
// warming up.
func TestRecoveredEndpointIsWarmingUp(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	id, actions := h.request(idempotentClass)
	target, _ := sendTarget(actions)
	h.finishAttempt(id, 0, ConnectFailed, 150)
	h.now += 60000
	for range 8 {
		id, actions = h.request(idempotentClass)
		if again, _ := sendTarget(actions); again == target {
			h.finishAttempt(id, 0, OK, 10)
			break
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	if !h.b.warmingUp(h.b.endpoints.byID[target]) {
		t.Fatal("the endpoint is treated as warm")
	}
}

// A single failure to connect is no restart: the endpoint must not be treated as warming up, or requests
// would wait for a budget that nobody needs.
func TestSingleConnectFailureIsNoRestart(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	for range 50 {
		id, actions := h.request(idempotentClass)
		if target, _ := sendTarget(actions); h.b.endpoints.byID[target].outlier.connectErrors == 0 {
			again, _ := sendTarget(h.finishAttempt(id, 0, ConnectFailed, 1))
			if again == 0 || again == target {
				t.Fatalf("retried from %d to %d", target, again)
			}
			h.finishAttempt(id, 1, OK, 10)
		} else {
			h.finishAttempt(id, 0, OK, 10)
		}
		h.now += 20
	}
	for _, ep := range h.b.endpoints.list {
		if h.b.warmingUp(ep) {
			t.Errorf("endpoint %d is treated as warming up", ep.ID)
		}
	}
}

// All instances together keep the budget of an endpoint that warms up. A budget by the requests of clients,
// retries included, overloaded it.
func TestSlowStartBudgetIsSharedByInstances(t *testing.T) {
	const instances, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	toWarmingUp := 0
	for n := range instances {
		cfg.Seed, cfg.InstanceIndex = uint64(n+1), n
		endpoints := newEndpoints(5)
		h := newHarness(t, cfg, endpoints...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // half-way one endpoint restarts
				endpoints[0].StartedAt = h.now
				h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
			}
			id, actions := h.request(idempotentClass)
			target, ok := sendTarget(actions)
			if !ok {
				t.Fatal("nothing sent")
			}
			if target == 1 && i >= perSecond*3 && i < perSecond*4 {
				toWarmingUp++
			}
			h.finishAttempt(id, 0, OK, 10)
			h.now += 1000 / perSecond
		}
	}
	// A warm endpoint gets a fifth of the traffic; one that warms up can do SlowStartInitialFraction of
	// that and a little more, and is overloaded at SlowStartOverloadFactor times its capacity.
	limit := float64(instances*perSecond) / 5 * cfg.SlowStartOverloadFactor * (cfg.SlowStartInitialFraction + 0.05)
	if toWarmingUp == 0 || float64(toWarmingUp) > limit {
		t.Fatalf("%d sends to the restarted endpoint in its first second, want 1 to %.0f", toWarmingUp, limit)
	}
}

// Many instances with uneven traffic keep the budget of an endpoint that warms up without any communication:
// together they stay below the overload factor of its capacity in each window.
func TestSlowStartBudgetIsSharedByManyUnevenInstances(t *testing.T) {
	const instances, seconds = 1500, 12
	cfg := baseConfig()
	cfg.InstanceCount, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = instances, 10000, 0.03
	var toRestarted [seconds]float64
	total := 0.0
	random := rand.New(rand.NewPCG(3, 4))
	for n := range instances {
		cfg.Seed, cfg.InstanceIndex = uint64(n+1), n
		rate := random.ExpFloat64() * random.ExpFloat64() // requests a second with a skewed distribution and a mean of 1
		endpoints := newEndpoints(30)
		h := newHarness(t, cfg, endpoints...)
		h.randomizeRotation()
		start := h.now
		endpoints[0].StartedAt = start + 4000
		for restarted := false; ; {
			h.now += Milliseconds(1000 * random.ExpFloat64() / (rate + 1e-3))
			at := int(h.now-start) / 1000
			if at >= seconds {
				break
			}
			if at >= 4 && !restarted {
				restarted = true
				now := h.now
				h.now = start + 4000
				h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
				h.now = now
			}
			if total++; sendSequence(h, 1)[0] == 1 && at >= 4 {
				toRestarted[at]++
			}
		}
	}
	perEndpoint := total / seconds / 30
	sent := 0.0
	for at := 4; at < seconds; at++ {
		least := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*ratio(Milliseconds(at-4)*1000, cfg.SlowStartDuration)
		// perEndpoint is what a warm endpoint is sent; with a margin for chance
		if limit := cfg.SlowStartOverloadFactor*least*perEndpoint + 2*math.Sqrt(perEndpoint); toRestarted[at] > limit {
			t.Errorf("second %d: %.0f sends to the restarted endpoint, limit %.0f (a warm one gets %.0f)",
				at, toRestarted[at], limit, perEndpoint)
		}
		sent += toRestarted[at]
	}
	if sent < perEndpoint {
		t.Errorf("%.0f sends in eight seconds: the endpoint does not warm up", sent)
	}
}

// An endpoint that warms up has no open connections. Its budget must not be compared with weights that open
// connections raise, or it gets nothing during a release.
func TestWarmingUpEndpointGetsItsShareDespiteOpenConnections(t *testing.T) {
	toWarmingUp := func(price float64) int {
		n := 0
		for seed := range uint64(200) {
			cfg := baseConfig()
			cfg.Seed, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = seed+1, 10000, price
			endpoints := newEndpoints(30)
			h := newHarness(t, cfg, endpoints...)
			h.randomizeRotation()
			sendSequence(h, 20)
			endpoints[0].StartedAt = h.now
			h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
			for range 40 {
				if sendSequence(h, 1)[0] == 1 {
					n++
				}
				h.now += 250
			}
		}
		return n
	}
	even, reuse := toWarmingUp(0), toWarmingUp(0.08)
	if reuse < even*4/5 || reuse > even*5/2 {
		t.Fatalf("%d sends to the restarted endpoint where connections have a cost, %d where not", reuse, even)
	}
}

// The responses of endpoints that are now ejected still count in the rate of which an endpoint that warms up
// gets its share. With the others as the whole its budget would be a multiple of what it may get.
func TestEjectedEndpointsDoNotRaiseSlowStartBudget(t *testing.T) {
	endpoints := newEndpoints(4)
	endpoints[3].StartedAt = 900 // 100 ms ago
	h := newHarness(t, baseConfig(), endpoints...)
	sendToWarmingUp := func(n int) (sent int) {
		for range n {
			h.now += 10
			id, actions := h.request(idempotentClass)
			if to, _ := sendTarget(actions); to == 4 {
				sent++
			}
			h.finishAttempt(id, 0, OK, 30)
		}
		return sent
	}
	before := sendToWarmingUp(100)
	for _, ep := range h.b.endpoints.list[:2] {
		ep.outlier.ejectedUntil = h.now + 1000
	}
	if during := sendToWarmingUp(100); during > before+before/2+2 {
		t.Errorf("the endpoint that warms up got %d of 100 while two others are ejected, %d before", during, before)
	}
}

// The responses assumed before any was seen do not count in the slow start budget: those of many small
// instances together overloaded an endpoint. An instance without responses may hardly send anything to it.
func TestPriorResponsesDoNotRaiseSlowStartBudget(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	entry := h.b.endpoints.list[0].Endpoint
	entry.StartedAt = h.now
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry}})
	h.now += 2000
	h.request(idempotentClass) // sets the weights
	ep := h.b.endpoints.list[0]
	ep.slowStart.tokens, ep.slowStart.updatedAt = 0, h.now-2000
	if h.b.refillSlowStart(ep); ep.slowStart.tokens > 0.2 { // 1 with ten assumed responses
		t.Fatalf("%.2f sends in two seconds", ep.slowStart.tokens)
	}
	for range 400 { // a share of two hundred responses a second
		h.b.responses.record()
	}
	ep.slowStart.tokens, ep.slowStart.updatedAt = 0, h.now-2000
	if h.b.refillSlowStart(ep); ep.slowStart.tokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy instance", ep.slowStart.tokens)
	}
}

// An endpoint that warms up must not save its turns in the rotation, or all instances choose it at once when
// its warm-up ends.
func TestWarmedUpEndpointIsNotFirstAtAllInstances(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = seed+1, 10000, 0.03
		endpoints := newEndpoints(20)
		h := newHarness(t, cfg, endpoints...)
		h.randomizeRotation()
		endpoints[0].StartedAt = h.now
		h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
		for h.now < endpoints[0].StartedAt+cfg.SlowStartDuration-1000 { // hardly any budget while it warms up
			sendSequence(h, 1)
			h.now += 1000
		}
		h.now = endpoints[0].StartedAt + cfg.SlowStartDuration
		if sendSequence(h, 1)[0] == 1 {
			first++
		}
	}
	if first > 60 { // an even share is 10; with the turns saved up it was 117
		t.Fatalf("%d of 200 instances sent to the endpoint at once", first)
	}
}

// Instances that start next to endpoints that warm up do not know the rate of the fleet yet. The first
// request of each must not bring it the budget of the whole fleet, or together they overload those endpoints.
func TestStartingInstancesSpareWarmingUpEndpoints(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	now := Milliseconds(100000)
	for i := range 20 {
		endpoints[i].StartedAt = now - 1000
	}
	toWarmingUp := 0
	for i := range 300 {
		b := New(largeFleetConfig(i, 300))
		b.Start(now)
		b.Handle(now, EndpointUpdate{Kind: UpdateCachedSnapshot, Endpoints: endpoints})
		actions, err := b.Handle(now+50, Request{ID: 1, Class: idempotentClass,
			StickyKey: uint64(1 + i%200), Remaining: 1500})
		target, ok := sendTarget(actions)
		if err != nil || !ok {
			t.Fatalf("not sent: %v, %v", actions, err)
		}
		if b.warmingUp(b.endpoints.byID[target]) {
			toWarmingUp++
		}
	}
	if toWarmingUp > 10 { // 300 / 60 for each warm endpoint
		t.Errorf("%d of the first 300 requests went to 20 endpoints that warm up", toWarmingUp)
	}
}
