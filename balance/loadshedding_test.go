package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// setOverload sets the steady shed fraction, and adds load to the endpoints so that the expected latency ratio exceeds
// the shed threshold by the given excess.
func (h *harness) setOverload(steadyShed, excess float64) {
	threshold := h.b.latency.shedThreshold()
	h.b.shedder.steadyFraction = steadyShed
	h.b.decayResponseCounts()
	fullLoad := (threshold + excess) * h.b.responsesPerMillisecond(shedPriorResponses)
	h.b.endpoints.list[0].load.requiredRate += fullLoad - h.b.totalRequiredRate()
}

// rejectedFractions sends 4000 requests of random pairs of class and tenant, while 0.4 of the load must be shed. It
// returns the fraction of rejected requests by class and by tenant.
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
		remaining := cfg.Classes[pair[0]].Deadline
		actions := h.dispatch(Request{ID: id, Class: pair[0], Tenant: pair[1], Remaining: remaining})
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

// The shed fraction follows the current load at once, between zero and twice the steady fraction. With a slow
// reaction, queues would grow for seconds. An instance with a steady fraction of zero sheds nothing, because its
// few requests may coincide by chance.
func TestSheddingFollowsLoadImmediately(t *testing.T) {
	for _, c := range []struct {
		name                     string
		steadyShed, excess       float64 // excess: of the latency ratio over the shed threshold
		minRejected, maxRejected float64 // fraction
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
			if rejected /= 200; rejected < c.minRejected || rejected > c.maxRejected {
				t.Errorf("%+v: got a fraction of %.2f rejected, want %.2f to %.2f",
					c, rejected, c.minRejected, c.maxRejected)
			}
		})
	}
}

// Of two tenants with equal quotas, the one that sends three times as much has its requests above the quota rejected.
// If both send equally much, an equal fraction of their requests is rejected.
func TestOverQuotaTenantsAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.5}, {QuotaShare: 0.5}}
	_, rejected := rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("got %.2f rejected of the larger tenant and %.2f of the other, want at least 0.4 and at most 0.1",
			rejected[0], rejected[1])
	}
	_, rejected = rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("got %.2f and %.2f rejected of equal tenants, want a difference of at most 0.15",
			rejected[0], rejected[1])
	}
}

// During an overload, requests that cannot be served in time are rejected before an attempt is sent, those with a low
// priority weight first. Otherwise, all queues would fill and all responses would be late. The endpoints respond to a
// request every 4 ms here, and one arrives every 2 ms.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	rejected := map[int]int{}
	var open []RequestID
	lastResponseAt := h.now
	for i := range 2000 {
		h.now += 2
		for len(open) > 0 && h.now >= lastResponseAt+4 {
			lastResponseAt = max(lastResponseAt+4, h.b.requests[open[0]].arrivedAt)
			result, latency := OK, h.now-h.b.requests[open[0]].arrivedAt
			if h.now > h.b.requests[open[0]].deadline {
				result = TimedOut
			}
			h.finishAttempt(open[0], 0, result, latency)
			open = open[1:]
		}
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.request(class)
		if hasAction(actions, SendAttempt) {
			open = append(open, id)
		} else {
			rejected[class]++
		}
	}
	if rejected[idempotentClass] < 100 || rejected[nonIdempotentClass] >= rejected[idempotentClass] {
		t.Fatalf("got %d rejected of low priority and %d of high, want at least 100 and fewer of high priority",
			rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// A first try and a client's retry are treated alike, whether retries are marked or not, and so are requests whose
// clients wait for less time than others: each can be answered in the time that its client has. In the incident
// sev5007, first attempts of clients with little time were taken for late retries, and half of them were rejected.
func TestFirstTriesAndRetriesAreAdmittedAlike(t *testing.T) {
	for _, c := range []struct {
		name                          string
		marked, clientRetry, overload bool
		remaining                     Milliseconds
	}{
		{name: "first try", marked: true, remaining: 1500},
		{name: "first try of a client with little time", marked: true, remaining: 50},
		{name: "retry with little time", marked: true, clientRetry: true, remaining: 50},
		{name: "retry with little time, not marked", remaining: 50},
		{name: "first try during an overload", marked: true, overload: true, remaining: 1500},
		{name: "retry during an overload", marked: true, clientRetry: true, overload: true, remaining: 1000},
		{name: "not marked during an overload", overload: true, remaining: 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.ClientRetriesMarked = c.marked
			h := newHarness(t, cfg, newEndpoints(4)...)
			id, _ := h.request(idempotentClass)
			h.finishAttempt(id, 0, OK, 30)
			rejected, wantMin, wantMax := 0, 0, 0
			if c.overload { // half of the load is shed
				wantMin, wantMax = 400, 600
			}
			for i := range RequestID(1000) {
				if c.overload {
					h.setOverload(0.5, 0)
				}
				actions := h.dispatch(Request{ID: 77 + i, Remaining: c.remaining, ClientRetry: c.clientRetry})
				if hasAction(actions, RejectRequest) {
					rejected++
				} else {
					h.finishAttempt(77+i, 0, OK, 30)
				}
			}
			if rejected < wantMin || rejected > wantMax {
				t.Errorf("%+v: got %d of 1000 rejected, want %d to %d", c, rejected, wantMin, wantMax)
			}
		})
	}
}

// measureTimePerInFlight serves requests at idle endpoints, one after another, in the given time each.
func (h *harness) measureTimePerInFlight(latency Milliseconds) {
	h.t.Helper()
	for range 10 {
		id, actions := h.request(idempotentClass)
		if _, ok := sendTarget(h.answerHealthChecks(actions, 0, nil)); !ok {
			h.t.Fatalf("idle endpoints: got %+v, want an attempt after the health checks", actions)
		}
		h.now += latency
		h.finishAttempt(id, 0, OK, latency)
	}
	h.now += 100
}

// An instance with one request per second learns of an overload only from the load reports of health checks. If the
// best of the checked endpoints would respond after the client has given up, 2000 ms, the request is rejected before an
// attempt is sent. Otherwise an attempt is sent to one of the checked endpoints.
func TestPolledLoadDecidesAdmission(t *testing.T) {
	for inFlight, rejected := range map[float32]bool{0: false, 1: false, 3: false, 6: true} {
		t.Run(fmt.Sprintf("%v in flight", inFlight), func(t *testing.T) {
			h := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
			h.measureTimePerInFlight(400)
			h.b.checks.busyFraction = 0.5 // so that only some endpoints are checked
			id, actions := h.request(globalKeyClass)
			checked := map[EndpointID]bool{}
			for _, a := range actions {
				if a.Kind == CheckHealth {
					checked[a.Endpoint] = true
				}
			}
			after := h.answerHealthChecks(actions, inFlight, nil)
			if hasAction(after, RejectRequest) != rejected || hasAction(after, SendAttempt) == rejected {
				t.Fatalf("request %d, %.0f in flight at each checked endpoint: got %+v, want a rejection: %v",
					id, inFlight, after, rejected)
			}
			if target, ok := sendTarget(after); len(checked) == 12 || ok && !checked[target] {
				t.Fatalf("got an attempt at endpoint %d with %d of 12 checked, want a checked one and fewer than 12",
					target, len(checked))
			}
		})
	}
}

// A further attempt of a request is judged by the same rule as the first one: it is sent if the endpoint can respond
// before the client gives up, and otherwise the request is rejected at once.
func TestOverloadIsJudgedAlikeForEachAttempt(t *testing.T) {
	for _, firstAttempt := range []bool{true, false} {
		for inFlight, rejected := range map[float32]bool{1: false, 6: true} {
			h := newHarness(t, healthCheckConfig(), newEndpoints(2)...)
			h.measureTimePerInFlight(400)
			id, actions := h.request(globalKeyClass)
			if firstAttempt {
				actions = h.answerHealthChecks(actions, inFlight, nil)
			} else {
				h.answerHealthChecks(actions, 0, nil)
				other := h.b.requests[id].attempts[0].endpoint.ID%2 + 1
				h.dispatch(HealthCheckResult{Endpoint: other, LoadReport: []float32{inFlight}})
				actions = h.finishAttempt(id, 0, ServerError, 1)
			}
			if hasAction(actions, RejectRequest) != rejected || hasAction(actions, SendAttempt) == rejected {
				t.Errorf("%v in flight, first attempt %v: got %+v, want a rejection: %v",
					inFlight, firstAttempt, actions, rejected)
			}
		}
	}
}

// Before any response has been measured, nothing says that an endpoint cannot respond in time. The first responses
// must then count fully. When an initial estimate still counted after dozens of responses, new instances rejected
// requests that endpoints with a short queue would have served in time.
func TestLatencyIsEstimatedFromFewResponses(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	_, actions := h.request(idempotentClass)
	if _, ok := sendTarget(h.answerHealthChecks(actions, 100, nil)); !ok {
		t.Error("nothing measured: got no attempt, want one")
	}
	h.now += 100
	h.measureTimePerInFlight(20)
	_, actions = h.request(idempotentClass)
	if _, ok := sendTarget(h.answerHealthChecks(actions, 2, nil)); !ok {
		t.Error("got no attempt, want one: 20 ms for each of three requests are far below the 1500 ms of the client")
	}
	_, actions = h.request(idempotentClass)
	if actions = h.answerHealthChecks(actions, 100, nil); !hasAction(actions, RejectRequest) {
		t.Errorf("100 requests in flight at each endpoint: got %+v, want a rejection", actions)
	}
}

// A request must not be rejected because the preferred endpoint, the one with an open connection, is overloaded while
// other checked endpoints are nearly idle.
func TestOneOverloadedEndpointCausesNoRejection(t *testing.T) {
	cfg := healthCheckConfig()
	cfg.Costs.NewConnection, cfg.ConnIdleTimeout = 0.12, 10000
	h := newHarness(t, cfg, newEndpoints(3)...)
	var preferred EndpointID
	for range 10 {
		id, actions := h.request(idempotentClass)
		preferred, _ = sendTarget(h.answerHealthChecks(actions, 0, nil))
		h.now += 50
		h.finishAttempt(id, 0, OK, 50)
	}
	for _, ep := range h.b.endpoints.list {
		if ep.ID != preferred {
			ep.activity.lastSentAt = never // the connections to the others were closed
		}
	}
	h.now += 100
	_, actions := h.request(idempotentClass)
	var followUps []Action
	for _, a := range actions {
		if a.Kind == CheckHealth {
			inFlight := float32(1)
			if a.Endpoint == preferred {
				inFlight = 40
			}
			result := HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{inFlight}}
			followUps = append(followUps, h.dispatch(result)...)
		}
	}
	if target, ok := sendTarget(followUps); !ok || target == preferred {
		t.Errorf("got an attempt at endpoint %d: %v, rejected: %v; want an attempt at another endpoint than %d",
			target, ok, hasAction(followUps, RejectRequest), preferred)
	}
}

// A rejection tells the client to come back when the endpoints have worked off what they have in flight beyond the
// amount at which load is shed: later the more that is, and the same whatever the latency objective is.
func TestRetryAfterFollowsLoad(t *testing.T) {
	const deadline, tolerance = 1500, 50 // setOverload does not count the recent responses
	for _, objective := range []Milliseconds{100, 300, deadline} {
		for excess, want := range map[float64]Milliseconds{0: 25, 0.1: 0.1 * deadline, 0.3: 0.3 * deadline} {
			cfg := baseConfig()
			cfg.Classes[idempotentClass].LatencyObjective = objective
			h := newHarness(t, cfg, newEndpoints(4)...)
			for range 10 {
				id, _ := h.request(idempotentClass)
				h.now += 50
				h.finishAttempt(id, 0, OK, 50)
			}
			var retryAfter Milliseconds
			for retryAfter == 0 {
				h.setOverload(maxShedFraction/maxMultipleOfSteadyFraction, excess)
				_, actions := h.request(idempotentClass)
				for _, action := range actions {
					if action.Kind == RejectRequest {
						retryAfter = action.RetryAfter
					}
				}
			}
			if retryAfter < want || retryAfter > want+tolerance {
				t.Errorf("objective %v, excess %v of the client's time: got Retry-After %v ms, want %v or little more",
					objective, excess, retryAfter, want)
			}
		}
	}
}

// A rejection tells the client when to retry. The delay is at most the longest one that clients respect.
func TestRejectionSetsRetryAfter(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxRetryAfter = 20
	h := newHarness(t, cfg, newEndpoints(1)...)
	id, _ := h.request(nonIdempotentClass)
	h.now += cfg.Classes[nonIdempotentClass].Deadline
	actions := h.finishAttempt(id, 0, Rejected, 1)
	if len(actions) != 1 || actions[0].Kind != RejectRequest ||
		actions[0].RetryAfter <= 0 || actions[0].RetryAfter > cfg.MaxRetryAfter {
		t.Fatalf("got %v, want one rejection with a Retry-After time of at most %v", actions, cfg.MaxRetryAfter)
	}
}

// Attempts that hang at an ejected endpoint are not a sign of overload and must not cause load shedding.
func TestEjectedEndpointsAreNotCountedAsLoad(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	h.b.endpoints.list[0].load.requiredRate, h.b.endpoints.list[1].load.requiredRate = 5, 1
	if load := h.b.totalRequiredRate(); load != 6 {
		t.Fatalf("before the ejection: got a load of %v, want 6", load)
	}
	h.b.endpoints.list[0].outlier.eject(h.now)
	if load := h.b.totalRequiredRate(); load != 1 {
		t.Fatalf("during the ejection: got a load of %v, want 1", load)
	}
}
