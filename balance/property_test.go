package balance

import (
	"math"
	"math/rand"
	"testing"
)

// invariantChecker passes random but legal events to a balancer and checks each action against these invariants:
//
//  1. An attempt goes to a ready endpoint. A request has one attempt in flight at most, and MaxAttempts in total.
//  2. A request is not executed twice, unless its class allows it.
//  3. A request gets one final response, by its deadline. It is not rejected if a retry by the client is not safe.
//  4. An endpoint in slow start gets only a limited number of attempts per overload window.
type invariantChecker struct {
	t            *testing.T
	random       *rand.Rand
	b            *Balancer
	cfg          Config
	now          Milliseconds
	endpoints    map[EndpointID]*Endpoint
	sendable     map[EndpointID]bool // endpoints that may get attempts
	requests     map[RequestID]*trackedRequest
	timers       []pendingTimer
	healthChecks []EndpointID // endpoints with a pending health check
	recentSends  []recentSend // attempts of about the last overload window
}

// recentSend records an attempt for the check of the slow start.
type recentSend struct {
	endpoint EndpointID
	sentAt   Milliseconds
}

// trackedRequest is the state that the checker keeps for a request.
type trackedRequest struct {
	class     int
	deadline  Milliseconds
	responded bool // it has its final response, or its client disconnected
	attempts  []trackedAttempt
}

// trackedAttempt is the state that the checker keeps for an attempt.
type trackedAttempt struct {
	endpoint      Endpoint
	sentAt        Milliseconds
	inFlight      bool
	neverExecuted bool // it ended, and its result proves that it was not executed
}

// pendingTimer is a timer that the balancer has set.
type pendingTimer struct {
	firesAt Milliseconds
	token   uint64
}

// newInvariantChecker returns a checker with a started balancer that has no endpoints yet.
func newInvariantChecker(t *testing.T, random *rand.Rand, cfg Config) *invariantChecker {
	t.Helper()
	checker := &invariantChecker{
		t: t, random: random, b: New(cfg), cfg: cfg, now: 5000, endpoints: map[EndpointID]*Endpoint{},
		sendable: map[EndpointID]bool{}, requests: map[RequestID]*trackedRequest{},
	}
	checker.perform(checker.b.Start(checker.now))
	return checker
}

// The invariants hold under random events and settings, and each request gets a final response.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		if seed >= 10 {
			cfg = randomConfig(random)
		}
		cfg.Seed = uint64(seed)
		cfg.Cancellation = seed%3 != 0
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.PolledDiscovery = seed%5 == 0
		if seed%4 == 1 {
			cfg.HealthChecks, cfg.LoadReports, cfg.LoadReportFields = true, LoadReportsPolled,
				[]LoadField{LoadFieldInFlight, LoadFieldQueue, LoadFieldUtilization}
		}
		checker := newInvariantChecker(t, random, cfg)
		checker.updateEndpoints(UpdateCachedSnapshot)
		for id := RequestID(1); id <= 1500; id++ {
			checker.now += Milliseconds(random.ExpFloat64() * 8)
			checker.fireTimers()
			checker.randomEvent(id)
		}
		for checker.now += 10; len(checker.timers) > 0 && checker.hasOpenRequests(); checker.now += 10 {
			checker.fireTimers()
		}
		if checker.hasOpenRequests() {
			t.Fatalf("seed %d: got a request without a final response, want one for each request", seed)
		}
	}
}

// randomConfig returns legal random values for all settings that affect decisions.
func randomConfig(random *rand.Rand) Config {
	cfg := baseConfig()
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		class.LatencyObjective = 50 + Milliseconds(700*random.Float64())
		class.Deadline = class.LatencyObjective.scaled(1 + 4*random.Float64())
		class.DedupWindow = 100 + Milliseconds(3000*random.Float64())
		class.PriorityWeight, class.LateWeight = 10*random.Float64(), random.Float64()
	}
	for range random.Intn(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{QuotaShare: random.Float64()})
		random.Float64() // drawn for a setting that was removed, so that each seed gives the same run as before
	}
	cfg.OverQuotaWeight, cfg.MinBatchInterval = random.Float64(), 1+Milliseconds(6*random.Float64())
	cfg.Zone, cfg.ConnIdleTimeout = random.Intn(2), Milliseconds(20000*random.Float64())
	cfg.SlowStartInitialFraction = 0.1 + 0.4*random.Float64()
	cfg.SlowStartDuration = 3000 + Milliseconds(20000*random.Float64())
	cfg.SlowStartOverloadFactor = 2 + 2*random.Float64()
	cfg.SlowStartOverloadWindow = 500 + Milliseconds(2000*random.Float64())
	cfg.Costs = Costs{CrossZone: 0.1 * random.Float64(), NewConnection: 0.05 * random.Float64(),
		HealthCheck: 0.02 * random.Float64()}
	return cfg
}

// randomEvent passes an event of a random kind to the balancer.
func (checker *invariantChecker) randomEvent(id RequestID) {
	switch n := checker.random.Intn(20); {
	case n < 9:
		class := checker.random.Intn(len(checker.cfg.Classes))
		remaining := checker.cfg.Classes[class].Deadline.scaled(checker.random.Float64())
		if checker.random.Intn(20) == 0 {
			remaining = 0
		}
		checker.requests[id] = &trackedRequest{class: class, deadline: checker.now + remaining}
		checker.handle(Request{ID: id, Class: class, Remaining: remaining})
	case n < 17:
		checker.finishRandomAttempt(id)
	case n < 18:
		checker.updateEndpoints([]UpdateKind{UpdateSnapshot, UpdateDelta, UpdateCachedSnapshot}[checker.random.Intn(3)])
	case n < 19:
		if len(checker.healthChecks) > 0 {
			target := checker.healthChecks[0]
			checker.healthChecks = checker.healthChecks[1:]
			checker.handle(HealthCheckResult{Endpoint: target, Duration: 1,
				LoadReport: []float32{float32(checker.random.Intn(6)), 0, 0.5}})
		}
	default:
		// The balancer ignores an unknown or finished request.
		disconnected := id - RequestID(checker.random.Intn(20))
		if req := checker.requests[disconnected]; req != nil {
			req.responded = true
		}
		checker.handle(ClientGone{Request: disconnected})
	}
}

// finishRandomAttempt ends an attempt in flight of a recent request with a random result.
func (checker *invariantChecker) finishRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		req := checker.requests[id]
		if req == nil {
			continue
		}
		for i := range req.attempts {
			if a := &req.attempts[i]; a.inFlight && checker.random.Intn(3) > 0 {
				results := []Result{OK, OK, OK, OK, ServerError, Rejected, ConnectFailed, ConnReset, TimedOut}
				result := results[checker.random.Intn(9)]
				a.inFlight, a.neverExecuted = false, result.NeverExecuted()
				req.responded = req.responded || result == OK
				checker.handle(Outcome{
					Request: id, Attempt: i, Endpoint: a.endpoint.ID, Result: result, Duration: checker.now - a.sentAt,
					Finished: req.responded,
				})
				return
			}
		}
	}
}

// updateEndpoints changes some endpoints at random and passes an update of the given kind to the balancer.
func (checker *invariantChecker) updateEndpoints(kind UpdateKind) {
	var entries []Endpoint
	for i := range 10 {
		id := EndpointID(i + 1)
		ep := checker.endpoints[id]
		if ep == nil || checker.random.Intn(4) == 0 {
			ep = &Endpoint{ID: id, State: EndpointState(checker.random.Intn(3) % 2), Rating: 1,
				Cell: i % 3, Zone: i % 2, MachineType: i % 2}
			if checker.random.Intn(3) == 0 {
				ep.StartedAt = checker.now
			}
			checker.endpoints[id] = ep
		}
		if kind == UpdateDelta && checker.random.Intn(2) == 0 {
			continue
		}
		if kind != UpdateDelta && checker.random.Intn(8) == 0 {
			checker.sendable[id] = false
			continue
		}
		checker.sendable[id] = ep.State == Ready
		entries = append(entries, *ep)
	}
	checker.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// handle passes an event to the balancer and performs its actions.
func (checker *invariantChecker) handle(ev Event) {
	actions, err := checker.b.Handle(checker.now, ev)
	if err != nil {
		checker.t.Fatalf("%#v: %v", ev, err)
	}
	checker.perform(actions)
}

// perform checks actions and records the attempts, timers and health checks that they start.
func (checker *invariantChecker) perform(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			checker.timers = append(checker.timers, pendingTimer{checker.now + a.Delay, a.Token})
		case CheckHealth:
			if !checker.cfg.HealthChecks {
				checker.t.Fatalf("got a health check of endpoint %d, want none as health checks are disabled",
					a.Endpoint)
			}
			checker.healthChecks = append(checker.healthChecks, a.Endpoint)
		case SendAttempt:
			checker.send(a)
		case RejectRequest, FailRequest:
			checker.checkFinalResponse(a)
		case CancelAttempt:
			if !checker.cfg.Cancellation || a.Attempt >= len(checker.requests[a.Request].attempts) {
				checker.t.Fatalf("got %+v, want cancellation enabled and an existing attempt", a)
			}
		}
	}
}

// send checks an attempt against invariants 1, 2 and 4, and records it.
func (checker *invariantChecker) send(a Action) {
	req, class := checker.requests[a.Request], checker.cfg.Classes[checker.requests[a.Request].class]
	switch {
	case req.responded:
		checker.t.Fatalf("request %d: got an attempt after its final response, want none", a.Request)
	case !checker.sendable[a.Endpoint]:
		checker.t.Fatalf("request %d: got an attempt at endpoint %d, which is draining or gone, want a ready endpoint",
			a.Request, a.Endpoint)
	case len(req.attempts) >= checker.cfg.MaxAttempts:
		checker.t.Fatalf("request %d: got attempt number %d, want %d attempts at most",
			a.Request, len(req.attempts)+1, checker.cfg.MaxAttempts)
	}
	target := *checker.endpoints[a.Endpoint]
	for _, previous := range req.attempts {
		if previous.inFlight {
			checker.t.Fatalf("request %d: got a second attempt in flight, want one at most", a.Request)
		}
		if previous.neverExecuted || class.Idempotency == Idempotent {
			continue
		}
		outOfScope := class.DedupScope == DedupCell && previous.endpoint.Cell != target.Cell ||
			class.DedupScope == DedupZone && previous.endpoint.Zone != target.Zone
		if class.Idempotency == NonIdempotent || outOfScope || checker.now >= previous.sentAt+class.DedupWindow {
			checker.t.Fatalf("request %d: got a retry at endpoint %d, want none there as it may have been executed",
				a.Request, a.Endpoint)
		}
		if a.SendBy == 0 || a.SendBy > previous.sentAt+class.DedupWindow {
			checker.t.Fatalf("request %d: got a retry that must arrive by %v, want %v at the latest, the end of the dedup window",
				a.Request, a.SendBy, previous.sentAt+class.DedupWindow)
		}
	}
	req.attempts = append(req.attempts, trackedAttempt{endpoint: target, sentAt: checker.now, inFlight: true})
	checker.checkSlowStart(target)
}

// checkSlowStart checks that an endpoint in slow start gets no more attempts within the overload window than the
// overload factor times the average over the ready endpoints, plus a tolerance for random variation.
func (checker *invariantChecker) checkSlowStart(target Endpoint) {
	kept, targetSends := checker.recentSends[:0], 1
	for _, send := range checker.recentSends {
		if send.sentAt > checker.now-checker.cfg.SlowStartOverloadWindow {
			kept = append(kept, send)
			// Earlier attempts went to a previous incarnation.
			if send.endpoint == target.ID && send.sentAt >= target.StartedAt {
				targetSends++
			}
		}
	}
	checker.recentSends = append(kept, recentSend{target.ID, checker.now})
	ready := 0
	for _, sendable := range checker.sendable {
		if sendable {
			ready++
		}
	}
	inSlowStart := target.StartedAt > 0 && checker.now < target.StartedAt+checker.cfg.SlowStartDuration
	maxSends := checker.cfg.SlowStartOverloadFactor * float64(len(checker.recentSends)) / float64(max(ready, 1))
	maxSends += 2 + 2*math.Sqrt(maxSends) // two attempts and two standard deviations of random variation
	if inSlowStart && ready > 2 && float64(targetSends) > maxSends {
		checker.t.Fatalf("endpoint %d in slow start: got %d of %d attempts within %.0f ms, want %.1f at most",
			target.ID, targetSends, len(checker.recentSends), checker.cfg.SlowStartOverloadWindow, maxSends)
	}
}

// responseGrace is how long after the deadline a final response may come: the time between two batches of events.
const responseGrace Milliseconds = 16

// checkFinalResponse checks a final response against invariant 3.
func (checker *invariantChecker) checkFinalResponse(a Action) {
	req, class := checker.requests[a.Request], checker.cfg.Classes[checker.requests[a.Request].class]
	if req.responded || checker.now > req.deadline+responseGrace {
		checker.t.Fatalf("request %d: got a final response at %v (earlier response: %v), want the only one by %v",
			a.Request, checker.now, req.responded, req.deadline)
	}
	req.responded = true
	if a.Kind == FailRequest || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotencyKey && class.DedupScope == DedupAll {
		return
	}
	for _, previous := range req.attempts {
		if !previous.neverExecuted {
			checker.t.Fatalf("request %d: got a rejection, want a failure as the request may have been executed",
				a.Request)
		}
	}
}

// fireTimers fires the timers that are due, each at the time for which it was set.
func (checker *invariantChecker) fireTimers() {
	end := checker.now
	for {
		next := -1
		for i, timer := range checker.timers {
			if timer.firesAt <= end && (next < 0 || timer.firesAt < checker.timers[next].firesAt) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		timer := checker.timers[next]
		checker.timers = append(checker.timers[:next], checker.timers[next+1:]...)
		checker.now = timer.firesAt
		checker.handle(TimerFired{Token: timer.token})
	}
	checker.now = end
}

// hasOpenRequests reports whether any request has no final response yet.
func (checker *invariantChecker) hasOpenRequests() bool {
	for _, req := range checker.requests {
		if !req.responded {
			return true
		}
	}
	return false
}

// unusualSettings maps a name to a function that changes a configuration and the number of endpoints.
var unusualSettings = map[string]func(*Config, *int){
	"one endpoint":    func(_ *Config, n *int) { *n = 1 },
	"300 endpoints":   func(_ *Config, n *int) { *n = 300 },
	"one attempt":     func(c *Config, _ *int) { c.MaxAttempts = 1 },
	"no cancellation": func(c *Config, _ *int) { c.Cancellation = false },
	"streams":         func(c *Config, _ *int) { c.Classes[idempotentClass].Streaming = true },
	"tenants":         func(c *Config, _ *int) { c.Tenants = []Tenant{{QuotaShare: 0.9}, {QuotaShare: 0.1}, {}} },
	"no slow start": func(c *Config, _ *int) {
		c.SlowStartDuration, c.SlowStartOverloadWindow, c.SlowStartOverloadFactor, c.SlowStartInitialFraction = 0, 0, 0, 0
	},
	"health checks, free": func(c *Config, _ *int) {
		c.HealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportsPolled, []LoadField{LoadFieldInFlight}
	},
	"health checks, expensive": func(c *Config, _ *int) {
		c.HealthChecks, c.LoadReports, c.Costs.HealthCheck = true, LoadReportsPolled, 10
	},
	"health checks, no field": func(c *Config, _ *int) {
		c.HealthChecks, c.LoadReports, c.LoadReportFields = true, LoadReportsPolled, []LoadField{LoadFieldUnknown}
	},
	"piggyback": func(c *Config, _ *int) {
		c.LoadReports, c.LoadReportFields = LoadReportsPiggybacked, []LoadField{LoadFieldUtilization, LoadFieldRate}
	},
	"objective of zero": func(c *Config, _ *int) {
		c.Classes[idempotentClass].LatencyObjective, c.Classes[nonIdempotentClass].PriorityWeight = 0, 0
	},
}

// The invariants hold for settings that differ much from those of the other tests. No endpoint is in slow start
// here, so that invariants 1 to 3 are checked. Each request gets a final response.
func TestUnusualSettingsKeepInvariants(t *testing.T) {
	for name, change := range unusualSettings {
		t.Run(name, func(t *testing.T) {
			cfg, count := baseConfig(), 6
			change(&cfg, &count)
			checkInvariants(t, cfg, count)
		})
	}
}

// checkInvariants sends 400 requests of all classes with the checker. The attempts of each request are completed
// after the next two requests.
func checkInvariants(t *testing.T, cfg Config, count int) {
	t.Helper()
	checker := newInvariantChecker(t, rand.New(rand.NewSource(7)), cfg)
	list := newEndpoints(count)
	for i := range list {
		checker.endpoints[list[i].ID], checker.sendable[list[i].ID] = &list[i], true
	}
	checker.handle(EndpointUpdate{Kind: UpdateSnapshot, Endpoints: list})
	sent := 0
	for id := RequestID(1); id <= 400; id++ {
		checker.now += 9
		checker.fireTimers()
		class := int(id) % len(cfg.Classes)
		checker.requests[id] = &trackedRequest{class: class, deadline: checker.now + 300}
		checker.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Remaining: 300})
		checker.finishHealthChecks()
		sent += len(checker.requests[id].attempts)
		if id > 2 {
			checker.finishAttempts(id - 2)
		}
	}
	for checker.now += 1000; checker.hasOpenRequests() && len(checker.timers) > 0; checker.now += 1000 {
		checker.fireTimers()
	}
	if checker.hasOpenRequests() || sent < 300 {
		t.Fatalf("got open requests: %v, %d of 400 sent; want no open requests and at least 300 sent",
			checker.hasOpenRequests(), sent)
	}
}

// finishHealthChecks completes all pending health checks, with one request in flight at each endpoint.
func (checker *invariantChecker) finishHealthChecks() {
	for len(checker.healthChecks) > 0 {
		id := checker.healthChecks[0]
		checker.healthChecks = checker.healthChecks[1:]
		checker.handle(HealthCheckResult{Endpoint: id, LoadReport: []float32{1}})
	}
}

// finishAttempts completes the attempts in flight of a request with a successful response.
func (checker *invariantChecker) finishAttempts(id RequestID) {
	req := checker.requests[id]
	for i := range req.attempts {
		if a := &req.attempts[i]; a.inFlight {
			a.inFlight, req.responded = false, true
			checker.handle(Outcome{Request: id, Attempt: i, Endpoint: a.endpoint.ID, Duration: checker.now - a.sentAt,
				Finished: true})
		}
	}
}
