package balance

import "testing"

// harness passes events to a balancer and records the actions that it returns.
type harness struct {
	t           *testing.T
	b           *Balancer
	now         Milliseconds
	actions     []Action
	lastRequest RequestID
}

// baseConfig returns the settings that most tests use or modify, with one class of each idempotency and dedup scope.
func baseConfig() Config {
	return Config{
		Seed: 1, InstanceCount: 3, MaxAttempts: 4, Cancellation: true, RetryAfter: true, MaxRetryAfter: 1000,
		MinBatchInterval: 4, SlowStartInitialFraction: 0.2, SlowStartDuration: 20000,
		SlowStartOverloadFactor: 2.5, SlowStartOverloadWindow: 1000,
		MaxPollInterval: 10000, DrainGrace: 2000,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			{Idempotency: IdempotencyKey, DedupScope: DedupCell, DedupWindow: 1200,
				LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotencyKey, DedupScope: DedupAll, DedupWindow: 1200,
				LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotencyKey, DedupScope: DedupZone, DedupWindow: 1200,
				LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
		},
	}
}

// Indexes of the classes of baseConfig.
const (
	idempotentClass = iota
	nonIdempotentClass
	cellKeyClass   // IdempotencyKey with DedupCell
	globalKeyClass // DedupAll
	zoneKeyClass   // DedupZone
)

// newHarness starts a balancer with the given endpoints. The rotation starts at the first endpoint.
func newHarness(t *testing.T, cfg Config, endpoints ...Endpoint) *harness {
	t.Helper()
	h := &harness{t: t, b: New(cfg), now: 1000}
	h.actions = append(h.actions, h.b.Start(h.now)...)
	h.dispatch(EndpointUpdate{Kind: UpdateCachedSnapshot, Endpoints: endpoints})
	for _, ep := range h.b.endpoints.list {
		ep.rotation.credit, ep.rotation.initialized = 0, true // a random start would hide the order of endpoints
	}
	return h
}

// randomizeRotation makes the rotation start at random, as it does without newHarness.
func (h *harness) randomizeRotation() {
	for _, ep := range h.b.endpoints.list {
		ep.rotation.initialized = false
	}
}

// newEndpoints returns n equal endpoints with IDs from 1, two in each cell and four in each zone.
func newEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Rating: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

// health returns the health multiplier of an endpoint at the time of the last event.
func (h *harness) health(ep *endpoint) float64 { return ep.outlier.health(h.b.now) }

// dispatch passes an event to the balancer and returns a copy of its actions.
func (h *harness) dispatch(ev Event) []Action {
	h.t.Helper()
	actions, err := h.b.Handle(h.now, ev)
	if err != nil {
		h.t.Fatalf("%#v: got error %v, want none", ev, err)
	}
	actions = append([]Action(nil), actions...)
	h.actions = append(h.actions, actions...)
	return actions
}

// request passes a new request of the class to the balancer and returns its ID and the resulting actions.
func (h *harness) request(class int) (RequestID, []Action) {
	h.t.Helper()
	h.lastRequest++
	remaining := h.b.cfg.Classes[class].Deadline
	return h.lastRequest, h.dispatch(Request{ID: h.lastRequest, Class: class, Remaining: remaining})
}

// finishAttempt ends an attempt with the given result and duration.
func (h *harness) finishAttempt(id RequestID, attempt int, result Result, duration Milliseconds) []Action {
	h.t.Helper()
	ep := h.b.requests[id].attempts[attempt].endpoint
	return h.dispatch(Outcome{
		Request: id, Attempt: attempt, Endpoint: ep.ID, Result: result, Duration: duration,
		Finished: result == OK || h.b.requests[id].finished,
	})
}

// sendTarget returns the endpoint of the first SendAttempt action, and whether there is one.
func sendTarget(actions []Action) (EndpointID, bool) {
	for _, a := range actions {
		if a.Kind == SendAttempt {
			return a.Endpoint, true
		}
	}
	return 0, false
}

// hasAction reports whether the actions include one of the given kind.
func hasAction(actions []Action, kind ActionKind) bool {
	for _, a := range actions {
		if a.Kind == kind {
			return true
		}
	}
	return false
}

// healthCheckConfig returns baseConfig with health checks whose load reports hold the requests in flight.
func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.HealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportsPolled, []LoadField{LoadFieldInFlight}
	return cfg
}

// answerHealthChecks completes the health checks among the actions. Those of unreachable endpoints time out, the
// others report the given number of requests in flight. It returns the resulting actions.
func (h *harness) answerHealthChecks(actions []Action, inFlight float32, unreachable map[EndpointID]bool) []Action {
	var followUps []Action
	for _, a := range actions {
		if a.Kind != CheckHealth {
			continue
		}
		res := HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{inFlight}}
		if unreachable[a.Endpoint] {
			res = HealthCheckResult{Endpoint: a.Endpoint, Result: TimedOut}
		}
		followUps = append(followUps, h.dispatch(res)...)
	}
	return followUps
}

// dueTimers returns the timers of open requests that are due.
func (h *harness) dueTimers() []TimerFired {
	var list []TimerFired
	for id := RequestID(1); id <= h.lastRequest; id++ {
		if req := h.b.requests[id]; req != nil && req.nextTimerAt <= h.now && !req.finished {
			list = append(list, TimerFired{Token: uint64(id)})
		}
	}
	return list
}

// sendSequence sends n idempotent requests, each after the previous one is complete, and returns their endpoints.
func sendSequence(h *harness, n int) []EndpointID {
	var ids []EndpointID
	for range n {
		id, actions := h.request(idempotentClass)
		target, ok := sendTarget(actions)
		if !ok {
			h.t.Fatalf("got %+v, want an attempt", actions)
		}
		ids = append(ids, target)
		h.b.requests[id].stats.latencySamples = 0 // so that no capacity is learned from the response
		h.finishAttempt(id, 0, OK, 10)
	}
	return ids
}

// largeFleetConfig returns the settings of one of many instances. The endpoints cache by sticky key.
func largeFleetConfig(index, count int) Config {
	cfg := baseConfig()
	cfg.Seed, cfg.InstanceIndex, cfg.InstanceCount, cfg.KeyCaching = uint64(1000+index), index, count, true
	cfg.SlowStartOverloadFactor = 4
	return cfg
}

// newZonedEndpoints returns n equal endpoints with large, unordered IDs in three zones.
func newZonedEndpoints(n int) []Endpoint {
	list := newEndpoints(n)
	for i := range list {
		list[i].ID = EndpointID(uint64(i+1) * splitMixIncrement)
		list[i].Zone = i % 3
	}
	return list
}

// newInstances returns n independent instances that use the same endpoints.
func newInstances(t *testing.T, n int, endpoints []Endpoint) []*harness {
	t.Helper()
	all := make([]*harness, n)
	for i := range all {
		all[i] = newHarness(t, largeFleetConfig(i, n), endpoints...)
		all[i].randomizeRotation()
	}
	return all
}

// serveKey sends a request with a sticky key, completes it after 5 ms and returns its endpoint.
func (h *harness) serveKey(key uint64) EndpointID {
	h.t.Helper()
	h.lastRequest++
	id := h.lastRequest
	target, ok := sendTarget(h.dispatch(Request{ID: id, Class: idempotentClass, StickyKey: key, Remaining: 1500}))
	if !ok {
		h.t.Fatalf("request %d: got no attempt, want one", id)
	}
	h.now += 5
	h.finishAttempt(id, 0, OK, 5)
	return target
}
