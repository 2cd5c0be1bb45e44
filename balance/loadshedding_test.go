package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// setOverload sets the steady shed fraction and fills the endpoints so that the expected latency exceeds what
// the admission control allows by the given part of the objective.
func (h *harness) setOverload(steadyShed, excess float64) {
	full := h.b.latency.minRatio + queueingAllowance*(1-h.b.latency.minRatio)
	h.b.shedder.steadyFraction, h.b.latency.lateFraction = steadyShed, 1
	h.b.advanceResponseRate()
	h.b.endpoints.list[0].load.perObjective += (full+excess)*h.b.responsesPerMillisecond(priorResponses) - h.b.inFlightLoad()
}

// rejectedFractions sends 4000 requests, drawn from pairs of class and tenant, while 0.4 of the work is to be
// shed, and returns the fraction rejected of each class and of each tenant.
func rejectedFractions(t *testing.T, cfg Config, pairs ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	h := newHarness(t, cfg, newEndpoints(4)...)
	var sent [2][5]float64
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		pair := pairs[random.IntN(len(pairs))]
		h.now++
		h.setOverload(0.4, 0)
		sent[0][pair[0]]++
		sent[1][pair[1]]++
		id := RequestID(i + 1)
		actions := h.dispatch(Request{ID: id, Class: pair[0], Tenant: pair[1], Remaining: cfg.Classes[pair[0]].Deadline})
		if hasAction(actions, RejectRequest) {
			byClass[pair[0]]++
			byTenant[pair[1]]++
		} else {
			h.finishAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, sent[0][i])
		byTenant[i] /= max(1, sent[1][i])
	}
	return byClass, byTenant
}

// Shedding has to follow the present load at once, between nothing and twice the steady fraction: a slow
// reaction lets queues grow for seconds. An instance that has not shed lately rejects nothing, as its few
// requests may coincide by chance.
func TestSheddingFollowsLoadImmediately(t *testing.T) {
	for _, c := range []struct {
		name               string
		steadyShed, excess float64 // excess: of the objective, beyond the accepted latency
		least, most        float64 // fraction rejected
	}{
		{"no recent shedding", 0, 0.5, 0, 0.05},
		{"steady load", 0.4, 0, 0.3, 0.5},
		{"growing load", 0.4, 0.5, 0.7, 0.9},
		{"falling load", 0.4, -0.3, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(4)...)
			for range 100 {
				id, _ := h.request(idempotentClass)
				h.now += 5
				h.finishAttempt(id, 0, OK, 50)
			}
			rejected := 0.0
			for range 200 {
				h.setOverload(c.steadyShed, c.excess)
				if _, actions := h.request(idempotentClass); hasAction(actions, RejectRequest) {
					rejected++
				}
			}
			if rejected /= 200; rejected < c.least || rejected > c.most {
				t.Errorf("%+v: %.2f were rejected", c, rejected)
			}
		})
	}
}

// Of two tenants with equal quotas the one that sends three times as much is rejected for what exceeds its
// quota. Tenants with equal traffic are rejected equally.
func TestOverQuotaTenantsAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.5}, {QuotaShare: 0.5}}
	_, rejected := rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("rejected %.2f of the tenant with much traffic, %.2f of the other", rejected[0], rejected[1])
	}
	_, rejected = rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f were rejected", rejected[0], rejected[1])
	}
}

// In overload requests that cannot be answered in time are rejected before an attempt is sent, those of low
// priority weight first. Otherwise all queues fill and all responses are late.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	h.b.latency.lateFraction = 1
	rejected := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		h.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.request(class)
		if hasAction(actions, RejectRequest) {
			rejected[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // responses take 300 ms and more
			h.finishAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if rejected[idempotentClass] < 100 || rejected[nonIdempotentClass] >= rejected[idempotentClass] {
		t.Fatalf("rejected %d of low priority and %d of high priority",
			rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// A retry by the client that arrives after the latency objective of its first attempt is rejected in overload
// if a late response has less weight than the load to shed. After the loss of half of the endpoints such
// retries took the capacity that was left.
func TestLateRetriesAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].LateWeight = 0.3
	for _, c := range []struct {
		name      string
		shed      float64
		remaining Milliseconds
		rejected  bool
	}{
		{"objective of 300 ms passed after 500 ms", 0.5, 1000, true},
		{"load to shed below the weight of a late response", 0.2, 1000, false},
		{"can still be in time after 200 ms", 0.5, 1300, false},
		{"first attempt", 0.99, 1500, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, cfg, newEndpoints(4)...)
			h.request(idempotentClass)
			h.b.shedder.steadyFraction, h.b.latency.lateFraction = c.shed, 1
			req := &request{
				Request: Request{Remaining: c.remaining}, class: &h.b.cfg.Classes[idempotentClass],
				stats: h.b.classes[idempotentClass],
			}
			if got := h.b.isLateRetry(req) && h.b.shedder.steadyFraction >= req.class.LateWeight; got != c.rejected {
				t.Errorf("%+v: rejected %v", c, got)
			}
			if !c.rejected {
				return
			}
			h.b.shedder.steadyFraction = c.shed
			if actions := h.dispatch(Request{ID: 77, Remaining: c.remaining}); !hasAction(actions, RejectRequest) {
				t.Errorf("%+v: %+v", c, actions)
			}
		})
	}
}

// Clients that wait for less than the deadline of the class must not be mistaken for late retries where
// retries are marked: their responses can still be in time.
func TestShortDeadlineFirstAttemptsAreServed(t *testing.T) {
	for _, c := range []struct {
		name                      string
		marked, clientRetry, sent bool
	}{
		{name: "short deadline", marked: true, sent: true},
		{name: "late retry", marked: true, clientRetry: true},
		{name: "retries not marked"}, // may as well be a late retry
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.ClientRetriesMarked = c.marked
			h := newHarness(t, cfg, newEndpoints(4)...)
			id, _ := h.request(idempotentClass) // shows how long clients usually wait
			h.finishAttempt(id, 0, OK, 30)
			actions := h.dispatch(Request{ID: 77, Remaining: 50, ClientRetry: c.clientRetry})
			if _, sent := sendTarget(actions); sent != c.sent || hasAction(actions, RejectRequest) == c.sent {
				t.Errorf("%+v: %+v", c, actions)
			}
		})
	}
}

// An instance with a request a second knows of an overload only what polled endpoints report. If the best of
// them would respond too late the request is rejected before an attempt is sent; otherwise it is sent, and
// only to an endpoint that was polled.
func TestPolledLoadDecidesAdmission(t *testing.T) {
	for inFlight, rejected := range map[float32]bool{0: false, 1: false, 6: true} {
		t.Run(fmt.Sprintf("%v in flight", inFlight), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
			h.b.checks.busyFraction = 0.5 // so that only some endpoints are polled
			id, actions := h.request(globalKeyClass)
			checked := map[EndpointID]bool{}
			for _, a := range actions {
				if a.Kind == CheckHealth {
					checked[a.Endpoint] = true
				}
			}
			after := h.answerHealthChecks(actions, inFlight, nil)
			if hasAction(after, RejectRequest) != rejected || hasAction(after, SendAttempt) == rejected {
				t.Fatalf("request %d, polled endpoints with %.0f in flight: %+v", id, inFlight, after)
			}
			if target, ok := sendTarget(after); len(checked) == 12 || ok && !checked[target] {
				t.Fatalf("sent to %d, which was not polled (%d were)", target, len(checked))
			}
		})
	}
}

// A few responses must replace the initial guess of the latency for each request in flight. A guess that
// outlived dozens of responses made new instances reject requests that endpoints with a short queue would
// have answered in time.
func TestLatencyIsEstimatedFromFewResponses(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	for range 5 {
		id, actions := h.request(idempotentClass)
		if _, ok := sendTarget(h.answerHealthChecks(actions, 0, nil)); !ok {
			t.Fatal("rejected although the endpoints are idle")
		}
		h.now += 20
		h.finishAttempt(id, 0, OK, 20)
	}
	h.now += 100
	_, actions := h.request(idempotentClass)
	if _, ok := sendTarget(h.answerHealthChecks(actions, 2, nil)); !ok {
		t.Error("rejected although 20 ms for each of three requests are far below the objective")
	}
	_, actions = h.request(idempotentClass)
	if actions = h.answerHealthChecks(actions, 50, nil); !hasAction(actions, RejectRequest) {
		t.Error("not rejected although all endpoints are full")
	}
}

// A request must not be rejected because the endpoint that is next in the rotation, with an open connection,
// is overloaded while other polled endpoints are nearly idle.
func TestOneOverloadedEndpointCausesNoRejection(t *testing.T) {
	cfg := healthCheckConfig()
	cfg.Costs.NewConnection, cfg.ConnIdleTimeout = 0.12, 10000
	h := newHarness(t, cfg, newEndpoints(3)...)
	var at EndpointID
	for range 10 {
		id, actions := h.request(idempotentClass)
		at, _ = sendTarget(h.answerHealthChecks(actions, 0, nil))
		h.now += 50
		h.finishAttempt(id, 0, OK, 50)
	}
	for _, ep := range h.b.endpoints.list {
		if ep.ID != at {
			ep.activity.lastSendAt = never // the connections to the others were closed
		}
	}
	h.now += 100
	_, actions := h.request(idempotentClass)
	var after []Action
	for _, a := range actions {
		if a.Kind == CheckHealth {
			n := float32(1)
			if a.Endpoint == at {
				n = 9
			}
			after = append(after, h.dispatch(HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{n}})...)
		}
	}
	if target, ok := sendTarget(after); !ok || target == at {
		t.Errorf("sent to %d: %v, rejected: %v", target, ok, hasAction(after, RejectRequest))
	}
}

// A rejection tells the client when to retry, and never later than the longest delay that clients respect.
func TestRejectionSetsRetryAfter(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxRetryAfter = 20
	h := newHarness(t, cfg, newEndpoints(1)...)
	id, _ := h.request(nonIdempotentClass)
	h.now += cfg.Classes[nonIdempotentClass].Deadline
	actions := h.finishAttempt(id, 0, Rejected, 1)
	if len(actions) != 1 || actions[0].Kind != RejectRequest ||
		actions[0].RetryAfter <= 0 || actions[0].RetryAfter > cfg.MaxRetryAfter {
		t.Fatalf("actions %v", actions)
	}
}

// Requests that hang at an ejected endpoint are a fault of that endpoint and must not cause shedding.
func TestEjectedEndpointsAreNotCountedAsLoad(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	h.b.endpoints.list[0].load.perObjective, h.b.endpoints.list[1].load.perObjective = 5, 1
	if load := h.b.inFlightLoad(); load != 6 {
		t.Fatalf("load %v before the ejection", load)
	}
	h.b.eject(h.b.endpoints.list[0])
	if load := h.b.inFlightLoad(); load != 1 {
		t.Fatalf("load %v during the ejection", load)
	}
}
