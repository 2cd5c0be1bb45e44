package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// An endpoint that responds again after it could not be reached has restarted, even if discovery does not report a
// restart. Its slow start begins.
func TestRecoveredEndpointIsInSlowStart(t *testing.T) {
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
	if !h.b.inSlowStart(h.b.endpoints.byID[target]) {
		t.Fatalf("endpoint %d is not in slow start after it responded again", target)
	}
}

// A single failure to connect does not show a restart. It must not start a slow start, or requests would wait for
// slow-start tokens without need.
func TestSingleConnectFailureIsNoRestart(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	for range 50 {
		id, actions := h.request(idempotentClass)
		if target, _ := sendTarget(actions); h.b.endpoints.byID[target].outlier.connectErrors == 0 {
			again, _ := sendTarget(h.finishAttempt(id, 0, ConnectFailed, 1))
			if again == 0 || again == target {
				t.Fatalf("got a retry at endpoint %d after endpoint %d failed, want the other endpoint",
					again, target)
			}
			h.finishAttempt(id, 1, OK, 10)
		} else {
			h.finishAttempt(id, 0, OK, 10)
		}
		h.now += 20
	}
	for _, ep := range h.b.endpoints.list {
		if h.b.inSlowStart(ep) {
			t.Errorf("endpoint %d is in slow start after a single failure to connect", ep.ID)
		}
	}
}

// All instances together keep the limit of an endpoint in slow start. When the limit was based on client requests,
// including retries, rather than on responses, the endpoint was overloaded.
func TestInstancesTogetherKeepSlowStartLimit(t *testing.T) {
	const instances, perSecond, seconds = 4, 150, 6
	cfg := baseConfig()
	toRestarted := 0
	for n := range instances {
		cfg.Seed, cfg.InstanceIndex = uint64(n+1), n
		endpoints := newEndpoints(5)
		h := newHarness(t, cfg, endpoints...)
		for i := range perSecond * seconds {
			if i == perSecond*3 { // one endpoint restarts after half of the time
				endpoints[0].StartedAt = h.now
				h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
			}
			id, actions := h.request(idempotentClass)
			target, ok := sendTarget(actions)
			if !ok {
				t.Fatalf("request %d was not sent", id)
			}
			if target == 1 && i >= perSecond*3 && i < perSecond*4 {
				toRestarted++
			}
			h.finishAttempt(id, 0, OK, 10)
			h.now += 1000 / perSecond
		}
	}
	// A fully started endpoint gets a fifth of the requests. An endpoint in the first second of its slow start has
	// little more than the initial fraction of that capacity, and is overloaded at SlowStartOverloadFactor times its capacity.
	limit := float64(instances*perSecond) / 5 * cfg.SlowStartOverloadFactor * (cfg.SlowStartInitialFraction + 0.05)
	if toRestarted == 0 || float64(toRestarted) > limit {
		t.Fatalf("%d attempts at the restarted endpoint in its first second, want 1 to %.0f", toRestarted, limit)
	}
}

// Many instances with uneven traffic keep the limit of an endpoint in slow start without communication: together
// they stay below its capacity times the overload factor in each second.
func TestManyUnevenInstancesTogetherKeepSlowStartLimit(t *testing.T) {
	const instances, seconds = 1500, 12
	cfg := baseConfig()
	cfg.InstanceCount, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = instances, 10000, 0.03
	var toRestarted [seconds]float64
	total := 0.0
	random := rand.New(rand.NewPCG(3, 4))
	for n := range instances {
		cfg.Seed, cfg.InstanceIndex = uint64(n+1), n
		rate := random.ExpFloat64() * random.ExpFloat64() // requests per second: a skewed distribution with mean 1
		endpoints := newEndpoints(30)
		h := newHarness(t, cfg, endpoints...)
		h.randomizeRotation()
		start := h.now
		endpoints[0].StartedAt = start + 4000
		for restarted := false; ; {
			h.now += Milliseconds(1000 * random.ExpFloat64() / (rate + 1e-3))
			second := int(h.now-start) / 1000
			if second >= seconds {
				break
			}
			if second >= 4 && !restarted {
				restarted = true
				now := h.now
				h.now = start + 4000
				h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
				h.now = now
			}
			if total++; sendSequence(h, 1)[0] == 1 && second >= 4 {
				toRestarted[second]++
			}
		}
	}
	perEndpoint := total / seconds / 30 // attempts per second at a fully started endpoint
	sent := 0.0
	for second := 4; second < seconds; second++ {
		progress := ratio(Milliseconds(second-4)*1000, cfg.SlowStartDuration)
		capacity := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*progress
		// The second term is a margin for random variation.
		if limit := cfg.SlowStartOverloadFactor*capacity*perEndpoint + 2*math.Sqrt(perEndpoint); toRestarted[second] > limit {
			t.Errorf("second %d: restarted endpoint got %.0f attempts, want %.0f at most (%.0f if fully started)",
				second, toRestarted[second], limit, perEndpoint)
		}
		sent += toRestarted[second]
	}
	if sent < perEndpoint {
		t.Errorf("got %.0f attempts at the restarted endpoint in 8 s, want %.0f or more", sent, perEndpoint)
	}
}

// An endpoint in slow start has no open connections. Its weight must still compete with the weights of endpoints
// that open connections raise, or the endpoint gets no requests while a release restarts the fleet.
func TestEndpointInSlowStartGetsItsShareDespiteOpenConnections(t *testing.T) {
	attemptsAtRestarted := func(connectionCost float64) int {
		attempts := 0
		for seed := range uint64(200) {
			cfg := baseConfig()
			cfg.Seed, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = seed+1, 10000, connectionCost
			endpoints := newEndpoints(30)
			h := newHarness(t, cfg, endpoints...)
			h.randomizeRotation()
			sendSequence(h, 20)
			endpoints[0].StartedAt = h.now
			h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
			for range 40 {
				if sendSequence(h, 1)[0] == 1 {
					attempts++
				}
				h.now += 250
			}
		}
		return attempts
	}
	withoutCost, withCost := attemptsAtRestarted(0), attemptsAtRestarted(0.08)
	if withCost < withoutCost*4/5 || withCost > withoutCost*5/2 {
		t.Fatalf("restarted endpoint got %d attempts when connections have a cost, want %d to %d (%d without)",
			withCost, withoutCost*4/5, withoutCost*5/2, withoutCost)
	}
}

// The response rate that an endpoint in slow start gets its share of still includes the responses of endpoints that
// are now ejected. If the share was relative to the other endpoints only, it would be several times too high.
func TestEjectedEndpointsDoNotRaiseSlowStartLimit(t *testing.T) {
	endpoints := newEndpoints(4)
	endpoints[3].StartedAt = 900 // 100 ms before the test starts
	h := newHarness(t, baseConfig(), endpoints...)
	sentToRestarted := func(requests int) (sent int) {
		for range requests {
			h.now += 10
			id, actions := h.request(idempotentClass)
			if target, _ := sendTarget(actions); target == 4 {
				sent++
			}
			h.finishAttempt(id, 0, OK, 30)
		}
		return sent
	}
	before := sentToRestarted(100)
	for _, ep := range h.b.endpoints.list[:2] {
		ep.outlier.ejectedUntil = h.now + 1000
	}
	if during := sentToRestarted(100); during > before+before/2+2 {
		t.Errorf("endpoint in slow start got %d of 100 requests during ejections, want %d at most (%d before)",
			during, before+before/2+2, before)
	}
}

// The slow-start limit does not include the responses that other rates assume before any response arrives: those of
// many instances with little traffic added up and overloaded an endpoint. So an instance without responses may send
// hardly any requests to an endpoint in slow start.
func TestPriorResponsesDoNotRaiseSlowStartLimit(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	entry := h.b.endpoints.list[0].Endpoint
	entry.StartedAt = h.now
	h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{entry}})
	h.now += 2000
	h.request(idempotentClass) // computes the weights
	ep := h.b.endpoints.list[0]
	ep.slowStart.tokens, ep.slowStart.updatedAt = 0, h.now-2000
	if h.b.refillSlowStart(ep); ep.slowStart.tokens > 0.2 { // 1 with ten prior responses
		t.Fatalf("got %.2f tokens in 2 s without responses, want 0.2 at most", ep.slowStart.tokens)
	}
	for range 400 { // in 2 s: 200 responses per second
		h.b.responses.recordResponse()
	}
	ep.slowStart.tokens, ep.slowStart.updatedAt = 0, h.now-2000
	if h.b.refillSlowStart(ep); ep.slowStart.tokens < 0.5 {
		t.Fatalf("got %.2f tokens in 2 s for a busy instance, want 0.5 or more", ep.slowStart.tokens)
	}
}

// An endpoint in slow start must not accumulate rotation credit, or all instances pick it at the same time when its
// slow start ends.
func TestEndpointAfterSlowStartIsNotFirstAtAllInstances(t *testing.T) {
	first := 0
	for seed := range uint64(200) {
		cfg := baseConfig()
		cfg.Seed, cfg.ConnIdleTimeout, cfg.Costs.NewConnection = seed+1, 10000, 0.03
		endpoints := newEndpoints(20)
		h := newHarness(t, cfg, endpoints...)
		h.randomizeRotation()
		endpoints[0].StartedAt = h.now
		h.dispatch(EndpointUpdate{Kind: UpdateDelta, Endpoints: endpoints[:1]})
		for h.now < endpoints[0].StartedAt+cfg.SlowStartDuration-1000 { // so little traffic yields hardly any tokens
			sendSequence(h, 1)
			h.now += 1000
		}
		h.now = endpoints[0].StartedAt + cfg.SlowStartDuration
		if sendSequence(h, 1)[0] == 1 {
			first++
		}
	}
	if first > 60 { // an even share is 10; with accumulated credit it was 117
		t.Fatalf("%d of 200 instances picked the endpoint first when its slow start ended, want 60 at most", first)
	}
}

// Instances that start while endpoints are in slow start do not know the request rate of the fleet yet. The first
// requests of all instances together must not overload these endpoints.
func TestStartingInstancesSpareEndpointsInSlowStart(t *testing.T) {
	endpoints := newZonedEndpoints(60)
	now := Milliseconds(100000)
	for i := range 20 {
		endpoints[i].StartedAt = now - 1000
	}
	toSlowStart := 0
	for i := range 300 {
		b := New(largeFleetConfig(i, 300))
		b.Start(now)
		b.Handle(now, EndpointUpdate{Kind: UpdateCachedSnapshot, Endpoints: endpoints})
		actions, err := b.Handle(now+50, Request{ID: 1, Class: idempotentClass,
			StickyKey: uint64(1 + i%200), Remaining: 1500})
		target, ok := sendTarget(actions)
		if err != nil || !ok {
			t.Fatalf("got actions %v and error %v, want an attempt", actions, err)
		}
		if b.inSlowStart(b.endpoints.byID[target]) {
			toSlowStart++
		}
	}
	if toSlowStart > 10 { // each fully started endpoint gets 300 / 60
		t.Errorf("%d of the first 300 requests went to 20 endpoints in slow start, want 10 at most", toSlowStart)
	}
}
