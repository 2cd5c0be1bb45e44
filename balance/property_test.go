package balance

import (
	"math"
	"math/rand"
	"testing"
)

// invariantChecker gives one balancer random but legal events and checks the four rules at each action.
type invariantChecker struct {
	t            *testing.T
	random       *rand.Rand
	b            *Balancer
	cfg          Config
	now          Milliseconds
	endpoints    map[EndpointID]*Endpoint
	sendable     map[EndpointID]bool // may be sent to
	requests     map[RequestID]*trackedRequest
	timers       []pendingTimer
	healthChecks []EndpointID
	sends        []timedSend // of about the last overload window
}

// timedSend is one sent attempt, for the check of slow start.
type timedSend struct {
	endpoint EndpointID
	at       Milliseconds
}

// trackedRequest is what the checker knows of a request.
type trackedRequest struct {
	class    int
	deadline Milliseconds
	answered bool
	attempts []trackedAttempt
}

// trackedAttempt is what the checker knows of an attempt. A clean one has ended and was never executed.
type trackedAttempt struct {
	endpoint Endpoint
	sent     Milliseconds
	live     bool
	clean    bool
}

// pendingTimer is a timer that the balancer has set.
type pendingTimer struct {
	at    Milliseconds
	token uint64
}

// newInvariantChecker starts a balancer without endpoints.
func newInvariantChecker(t *testing.T, random *rand.Rand, cfg Config) *invariantChecker {
	t.Helper()
	checker := &invariantChecker{
		t: t, random: random, b: New(cfg), cfg: cfg, now: 5000, endpoints: map[EndpointID]*Endpoint{},
		sendable: map[EndpointID]bool{}, requests: map[RequestID]*trackedRequest{},
	}
	checker.perform(checker.b.Start(checker.now))
	return checker
}

// The four rules hold under random events and settings, and each request is answered.
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
			t.Fatalf("seed %d: a request got no answer", seed)
		}
	}
}

// randomConfig draws all settings that a decision reads, within what is legal.
func randomConfig(random *rand.Rand) Config {
	cfg := baseConfig()
	for c := range cfg.Classes {
		k := &cfg.Classes[c]
		k.LatencyObjective = 50 + Milliseconds(700*random.Float64())
		k.Deadline = k.LatencyObjective.scaled(1 + 4*random.Float64())
		k.DedupWindow = 100 + Milliseconds(3000*random.Float64())
		k.PriorityWeight, k.LateWeight = 10*random.Float64(), random.Float64()
	}
	for range random.Intn(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{QuotaShare: random.Float64()})
		random.Float64() // drawn for a removed setting, so that the seeds give the same runs
	}
	cfg.OverQuotaWeight, cfg.MinBatchInterval = random.Float64(), 1+Milliseconds(6*random.Float64())
	cfg.Zone, cfg.ConnIdleTimeout = random.Intn(2), Milliseconds(20000*random.Float64())
	cfg.WarmUpInitialFraction, cfg.WarmUpDuration = 0.1+0.4*random.Float64(), 3000+Milliseconds(20000*random.Float64())
	cfg.OverloadFactor, cfg.OverloadWindow = 2+2*random.Float64(), 500+Milliseconds(2000*random.Float64())
	cfg.Costs = Costs{CrossZone: 0.1 * random.Float64(), NewConnection: 0.05 * random.Float64(),
		HealthCheck: 0.02 * random.Float64()}
	return cfg
}

// randomEvent gives the balancer one event of a random kind.
func (checker *invariantChecker) randomEvent(id RequestID) {
	switch n := checker.random.Intn(20); {
	case n < 9:
		class := checker.random.Intn(len(checker.cfg.Classes))
		left := checker.cfg.Classes[class].Deadline.scaled(checker.random.Float64())
		if checker.random.Intn(20) == 0 {
			left = 0
		}
		checker.requests[id] = &trackedRequest{class: class, deadline: checker.now + left}
		checker.handle(Request{ID: id, Class: class, Remaining: left})
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
		gone := id - RequestID(checker.random.Intn(20)) // an unknown or finished request is ignored
		if o := checker.requests[gone]; o != nil {
			o.answered = true
		}
		checker.handle(ClientGone{Request: gone})
	}
}

// finishRandomAttempt ends one attempt in flight of a recent request.
func (checker *invariantChecker) finishRandomAttempt(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := checker.requests[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.live && checker.random.Intn(3) > 0 {
				result := []Result{OK, OK, OK, OK, ServerError, Rejected, ConnectFailed, ConnReset, TimedOut}[checker.random.Intn(9)]
				a.live, a.clean = false, result.NeverExecuted()
				o.answered = o.answered || result == OK
				checker.handle(Outcome{
					Request: id, Attempt: i, Endpoint: a.endpoint.ID, Result: result, Duration: checker.now - a.sent,
					Finished: o.answered,
				})
				return
			}
		}
	}
}

// updateEndpoints changes some endpoints at random and sends an update of the kind.
func (checker *invariantChecker) updateEndpoints(kind UpdateKind) {
	var entries []Endpoint
	for i := range 10 {
		id := EndpointID(i + 1)
		s := checker.endpoints[id]
		if s == nil || checker.random.Intn(4) == 0 {
			s = &Endpoint{ID: id, State: EndpointState(checker.random.Intn(3) % 2), Rating: 1,
				Cell: i % 3, Zone: i % 2, MachineType: i % 2}
			if checker.random.Intn(3) == 0 {
				s.StartedAt = checker.now
			}
			checker.endpoints[id] = s
		}
		if kind == UpdateDelta && checker.random.Intn(2) == 0 {
			continue
		}
		if kind != UpdateDelta && checker.random.Intn(8) == 0 {
			checker.sendable[id] = false
			continue
		}
		checker.sendable[id] = s.State == Ready
		entries = append(entries, *s)
	}
	checker.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// handle gives the balancer an event and performs its actions.
func (checker *invariantChecker) handle(ev Event) {
	actions, err := checker.b.Handle(checker.now, ev)
	if err != nil {
		checker.t.Fatalf("%#v: %v", ev, err)
	}
	checker.perform(actions)
}

// perform checks actions and records what they start.
func (checker *invariantChecker) perform(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			checker.timers = append(checker.timers, pendingTimer{checker.now + a.Delay, a.Token})
		case CheckHealth:
			if !checker.cfg.HealthChecks {
				checker.t.Fatal("health check although they are disabled")
			}
			checker.healthChecks = append(checker.healthChecks, a.Endpoint)
		case SendAttempt:
			checker.send(a)
		case RejectRequest, FailRequest:
			checker.checkFinalAnswer(a)
		case CancelAttempt:
			if !checker.cfg.Cancellation || a.Attempt >= len(checker.requests[a.Request].attempts) {
				checker.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

// send checks an attempt: it goes to a ready endpoint, within the limit of attempts, and never executes twice
// a request that must not be.
func (checker *invariantChecker) send(a Action) {
	o, c := checker.requests[a.Request], checker.cfg.Classes[checker.requests[a.Request].class]
	switch {
	case o.answered:
		checker.t.Fatalf("request %d was sent after its answer", a.Request)
	case !checker.sendable[a.Endpoint]:
		checker.t.Fatalf("request %d was sent to endpoint %d, which is draining or gone", a.Request, a.Endpoint)
	case len(o.attempts) >= checker.cfg.MaxAttempts:
		checker.t.Fatalf("request %d has too many attempts", a.Request)
	}
	to := *checker.endpoints[a.Endpoint]
	for _, p := range o.attempts {
		if p.live {
			checker.t.Fatalf("request %d has two attempts in flight", a.Request)
		}
		if p.clean || c.Idempotency == Idempotent {
			continue
		}
		apart := c.DedupScope == DedupCell && p.endpoint.Cell != to.Cell ||
			c.DedupScope == DedupZone && p.endpoint.Zone != to.Zone
		if c.Idempotency == NonIdempotent || apart || checker.now >= p.sent+c.DedupWindow {
			checker.t.Fatalf("request %d may have been executed and was retried", a.Request)
		}
	}
	o.attempts = append(o.attempts, trackedAttempt{endpoint: to, sent: checker.now, live: true})
	checker.checkSlowStart(to)
}

// checkSlowStart checks that an endpoint that warms up gets no more within the overload window than the
// overload factor times what an endpoint of this instance gets on average, and what chance may add to that.
func (checker *invariantChecker) checkSlowStart(to Endpoint) {
	kept, toThis := checker.sends[:0], 1
	for _, s := range checker.sends {
		if s.at > checker.now-checker.cfg.OverloadWindow {
			kept = append(kept, s)
			if s.endpoint == to.ID && s.at >= to.StartedAt { // earlier ones went to another process
				toThis++
			}
		}
	}
	checker.sends = append(kept, timedSend{to.ID, checker.now})
	ready := 0
	for _, sendable := range checker.sendable {
		if sendable {
			ready++
		}
	}
	warmingUp := to.StartedAt > 0 && checker.now < to.StartedAt+checker.cfg.WarmUpDuration
	most := checker.cfg.OverloadFactor * float64(len(checker.sends)) / float64(max(ready, 1))
	most += 2 + 2*math.Sqrt(most)
	if warmingUp && ready > 2 && float64(toThis) > most {
		checker.t.Fatalf("endpoint %d, warming up, was sent %d of %d within %.0f ms, at most %.1f",
			to.ID, toThis, len(checker.sends), checker.cfg.OverloadWindow, most)
	}
}

// answerGrace is how long after its deadline an answer may come: the time between two batches of events.
const answerGrace Milliseconds = 16

// checkFinalAnswer checks that a request gets one answer in time, and no rejection if it may have been
// executed.
func (checker *invariantChecker) checkFinalAnswer(a Action) {
	o, c := checker.requests[a.Request], checker.cfg.Classes[checker.requests[a.Request].class]
	if o.answered || checker.now > o.deadline+answerGrace {
		checker.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, checker.now, o.deadline)
	}
	o.answered = true
	if a.Kind == FailRequest || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotencyKey && c.DedupScope == DedupAll {
		return
	}
	for _, p := range o.attempts {
		if !p.clean {
			checker.t.Fatalf("request %d may have been executed and was rejected", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, each at its own time.
func (checker *invariantChecker) fireTimers() {
	end := checker.now
	for {
		next := -1
		for i, p := range checker.timers {
			if p.at <= end && (next < 0 || p.at < checker.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := checker.timers[next]
		checker.timers = append(checker.timers[:next], checker.timers[next+1:]...)
		checker.now = p.at
		checker.handle(TimerFired{Token: p.token})
	}
	checker.now = end
}

// hasOpenRequests reports whether any request has no answer yet.
func (checker *invariantChecker) hasOpenRequests() bool {
	for _, o := range checker.requests {
		if !o.answered {
			return true
		}
	}
	return false
}

// unusualSettings change a configuration and the number of endpoints.
var unusualSettings = map[string]func(*Config, *int){
	"one endpoint":    func(_ *Config, n *int) { *n = 1 },
	"hundreds":        func(_ *Config, n *int) { *n = 300 },
	"one attempt":     func(c *Config, _ *int) { c.MaxAttempts = 1 },
	"no cancellation": func(c *Config, _ *int) { c.Cancellation = false },
	"streams":         func(c *Config, _ *int) { c.Classes[idempotentClass].Streaming = true },
	"tenants":         func(c *Config, _ *int) { c.Tenants = []Tenant{{QuotaShare: 0.9}, {QuotaShare: 0.1}, {}} },
	"no slow start": func(c *Config, _ *int) {
		c.WarmUpDuration, c.OverloadWindow, c.OverloadFactor, c.WarmUpInitialFraction = 0, 0, 0, 0
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

// Settings that the first deployments do not use: the checker verifies rules 1 to 3 in each run, and each
// request is answered.
func TestUnusualSettingsKeepInvariants(t *testing.T) {
	for name, change := range unusualSettings {
		t.Run(name, func(t *testing.T) {
			cfg, count := baseConfig(), 6
			change(&cfg, &count)
			checkInvariants(t, cfg, count)
		})
	}
}

// checkInvariants runs 400 requests of all classes under the checker and completes each after two others.
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
		t.Fatalf("unanswered requests: %v; %d of 400 sent", checker.hasOpenRequests(), sent)
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

// finishAttempts completes the attempts in flight of a request.
func (checker *invariantChecker) finishAttempts(id RequestID) {
	o := checker.requests[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.live {
			a.live, o.answered = false, true
			checker.handle(Outcome{Request: id, Attempt: i, Endpoint: a.endpoint.ID, Duration: checker.now - a.sent,
				Finished: true})
		}
	}
}
