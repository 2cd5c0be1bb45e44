package balance_test

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"cindersaddle/balance"
)

// This file is a characterization test: it drives the package through its exported interface by seeded
// simulations and compares a hash of everything that it decided with testdata/golden.txt. A change that must
// keep the behaviour must keep that file; one that alters the behaviour rewrites it with -update and says so.
// The hashes cover bits of floating point numbers, so they are valid for amd64 with FMA: other processors may
// round differently.

const (
	goldenFile           = "testdata/golden.txt"
	configurationCount   = 32
	startOfTime          = 1e6  // milliseconds
	eventsOfSmallFleet   = 6000 // for each configuration
	eventsOfLargeFleet   = 3000
	largeFleetOfScript   = 100                    // a configuration with as many endpoints has fewer events
	actionKinds          = len(recordedKinds) + 3 // with three removed ones
	resultKinds          = int(balance.NotAttempted) + 1
	eventsBetweenChanges = 40 // between two changes of the endpoints, the update or the load
)

// recordedKinds are the numbers that the kinds of actions had when the golden file was recorded.
var recordedKinds = [...]int{
	balance.SendAttempt: 0, balance.RejectRequest: 1, balance.FailRequest: 2, balance.CancelAttempt: 3, balance.SetTimer: 4,
	balance.CheckHealth: 5, balance.Log: 8, balance.WatchEndpoints: 9,
}

var update = flag.Bool("update", false, "rewrite the golden file")

// TestGoldenDecisions compares all decisions in the simulations with the recorded ones.
func TestGoldenDecisions(t *testing.T) {
	lines := make([]string, configurationCount)
	for number := range lines {
		lines[number] = runConfiguration(t, number)
	}
	if *update {
		writeGolden(t, lines)
		return
	}
	recorded := readGolden(t)
	if len(recorded) != len(lines) {
		t.Errorf("%s has %d lines, want %d", goldenFile, len(recorded), len(lines))
	}
	for number, line := range lines {
		if number < len(recorded) && recorded[number] != line {
			t.Errorf("configuration %d:\n got %s\nwant %s", number, line, recorded[number])
		}
	}
}

// writeGolden records the lines of all configurations.
func writeGolden(t *testing.T, lines []string) {
	t.Helper()
	if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readGolden returns the recorded lines.
func readGolden(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}

// runConfiguration runs one simulation and returns its line of the golden file.
func runConfiguration(t *testing.T, number int) string {
	s := newSimulation(t, number)
	size, classes, tenants := len(s.endpoints), len(s.config.Classes), len(s.config.Tenants)
	s.run()
	kinds := make([]string, actionKinds)
	for kind, count := range s.actionCounts {
		kinds[kind] = fmt.Sprint(count)
	}
	return fmt.Sprintf("%d servers %d classes %d tenants %d reports %d attempts %d events %d actions %s hash %x",
		number, size, classes, tenants, int(s.firstReports), s.firstAttempts, s.events,
		strings.Join(kinds, ","), s.digest.hash.Sum(nil))
}

// digest hashes numbers; names of types and fields do not enter it.
type digest struct {
	hash   hash.Hash
	buffer [8]byte
}

func (d *digest) whole(value uint64) {
	binary.LittleEndian.PutUint64(d.buffer[:], value)
	d.hash.Write(d.buffer[:])
}

func (d *digest) integer(value int) { d.whole(uint64(int64(value))) }

func (d *digest) floats(values ...float64) {
	for _, value := range values {
		d.whole(math.Float64bits(value))
	}
}

func (d *digest) times(values ...balance.Milliseconds) {
	for _, value := range values {
		d.floats(float64(value))
	}
}

func (d *digest) boolean(value bool) {
	if value {
		d.whole(1)
	} else {
		d.whole(0)
	}
}

// action hashes one action. The text of log lines may change and is left out.
func (d *digest) action(action *balance.Action) {
	d.integer(recordedKinds[action.Kind])
	if action.Kind == balance.Log {
		return
	}
	d.whole(uint64(action.Request))
	d.integer(action.Attempt)
	d.whole(uint64(action.Endpoint))
	d.times(action.Deadline + action.RetryAfter + action.Delay) // of which one kind has one at most
	d.whole(action.Token)
	d.integer(0) // the receiver and the length of messages to other instances, which were removed
	d.integer(0)
}

// state hashes the exported state of a balancer.
func (d *digest) state(m *balance.LearnedState) {
	d.times(m.StartedAt, m.LastResponseAt, m.ResponsesCountedAt, m.LastRequestAt)
	d.floats(m.MinLatencyRatio, m.LatencyRatio, m.LatencyRatioSamples, m.LateFraction)
	d.floats(m.ResponseCount, m.LatestResponseCount, m.ConnectFailureFraction)
	d.times(m.TimePerInFlight)
	d.floats(m.TimePerInFlightSamples, m.BusyFraction)
	d.floats(m.CapacityUpdates, m.CapacityDrift, m.SteadyShed)
	d.table(m.MachineTypes)
	d.table(m.Zones)
	d.integer(len(m.Classes))
	for _, class := range m.Classes {
		d.floats(class.Requests, class.LatencySamples)
		d.times(class.MeanLatency, class.LatencyDeviation, class.LongestTimeout, class.LastFailureAt)
		d.floats(class.MeanScore)
	}
	d.list(m.TenantRequests)
	d.integer(len(m.Endpoints))
	for i := range m.Endpoints {
		d.endpointState(&m.Endpoints[i])
	}
}

func (d *digest) endpointState(endpoint *balance.LearnedEndpoint) {
	d.whole(uint64(endpoint.ID))
	d.floats(endpoint.CapacityLog)
	d.times(endpoint.LastErrorAt, endpoint.EjectedUntil)
	d.integer(endpoint.ConsecutiveErrors)
	d.integer(endpoint.Ejections)
	d.integer(endpoint.ConnectErrors)
	d.times(endpoint.WarmUpSince)
	d.floats(endpoint.SlowStartTokens)
	d.times(endpoint.TokensUpdatedAt, endpoint.LastResponseAt, endpoint.SlowUntil)
	d.integer(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.floats(score.Value)
	}
	d.integer(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.times(score.UpdatedAt)
	}
}

func (d *digest) list(values []float64) {
	d.integer(len(values))
	d.floats(values...)
}

// table hashes a map in the order of its keys.
func (d *digest) table(values map[int]float64) {
	d.integer(len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		d.integer(key)
		d.floats(values[key])
	}
}

// behaviour is how a simulated endpoint responds at present.
type behaviour int

const (
	behavesWell behaviour = iota
	isSlow
	hangs
	fails
	failsOneClass
	isUnreachable
	isFull
	resetsConnections
	behaviourCount
)

// simulatedEndpoint is one endpoint of the simulated fleet.
type simulatedEndpoint struct {
	entry       balance.Endpoint
	behaviour   behaviour
	failedClass int
	inFlight    int
}

// simulatedAttempt is one attempt of a request that the balancer has sent.
type simulatedAttempt struct {
	endpoint *simulatedEndpoint
	live     bool
}

// simulatedRequest is one request of the script.
type simulatedRequest struct {
	id         balance.RequestID
	classIndex int
	class      balance.Class
	deadline   balance.Milliseconds
	uploadedAt balance.Milliseconds
	attempts   []*simulatedAttempt
	answered   bool
}

// delivery is something due later. Deliveries due at one time keep the order in which they were planned.
type delivery struct {
	at      balance.Milliseconds
	order   int
	deliver func()
}

// deliveryQueue is a heap of deliveries by time.
type deliveryQueue []delivery

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q deliveryQueue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(item any) { *q = append(*q, item.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// chanceAfterRetiredDraw is chance behind a draw for a removed setting, so that later draws stay as recorded.
func (s *simulation) chanceAfterRetiredDraw(probability float64) bool {
	s.random.Float64()
	return s.chance(probability)
}

// retireDraws draws for removed settings, so that later draws stay as recorded.
func (s *simulation) retireDraws(count int) {
	for range count {
		s.random.Float64()
	}
}

// simulation is a fleet, its clients and its network around one balancer.
type simulation struct {
	t             *testing.T
	number        int
	random        *rand.Rand
	digest        digest
	config        balance.Config
	balancer      *balance.Balancer
	now           balance.Milliseconds
	events        int
	eventLimit    int
	actionCounts  [actionKinds]int
	firstReports  balance.LoadReportMode
	firstAttempts int

	pending          deliveryQueue
	planned          int
	endpoints        []*simulatedEndpoint
	byID             map[balance.EndpointID]*simulatedEndpoint // for lookups only
	requests         map[balance.RequestID]*simulatedRequest
	recent           []*simulatedRequest // the latest ones, for clients that disconnect
	lastRequest      balance.RequestID
	lastEndpoint     balance.EndpointID
	zones            int
	endpointsPerCell int
	rated            bool // new endpoints have a rating
	silentUntil      []balance.Milliseconds
	slowdown         float64
	interval         balance.Milliseconds // mean time between requests
	rush             float64              // present factor of the interval
	keys             *rand.Zipf
	dropped          []*balance.Class
	nextChange       int
	nextSettings     int
	nextHandover     int
}

func newSimulation(t *testing.T, number int) *simulation {
	s := &simulation{
		t: t, number: number, random: rand.New(rand.NewPCG(uint64(number), 20)), digest: digest{hash: sha256.New()},
		now: startOfTime, byID: map[balance.EndpointID]*simulatedEndpoint{},
		requests: map[balance.RequestID]*simulatedRequest{}, slowdown: 1, rush: 1,
	}
	s.keys = rand.NewZipf(s.random, 1.2, 2, 5000)
	s.config = s.drawConfig()
	s.firstReports, s.firstAttempts = s.config.LoadReports, s.config.MaxAttempts
	s.interval = s.span(2, 25)
	s.drawFleet()
	s.eventLimit = eventsOfSmallFleet
	if len(s.endpoints) >= largeFleetOfScript {
		s.eventLimit = eventsOfLargeFleet
	}
	s.nextChange = eventsBetweenChanges
	s.nextSettings, s.nextHandover = s.eventLimit*2/5, s.eventLimit*3/5
	return s
}

func (s *simulation) chance(part float64) bool { return s.random.Float64() < part }
func (s *simulation) between(least, most float64) float64 {
	return least + (most-least)*s.random.Float64()
}

// span draws a span of time.
func (s *simulation) span(least, most float64) balance.Milliseconds {
	return balance.Milliseconds(s.between(least, most))
}

// drawConfig draws all settings. Some depend on the number, so that each kind surely occurs.
func (s *simulation) drawConfig() balance.Config {
	c := balance.Config{
		Seed: s.random.Uint64(), InstanceCount: []int{1, 3, 20, 200}[s.number/2%4], Zone: s.random.IntN(3),
		OverQuotaWeight: s.random.Float64(), MinBatchInterval: s.span(0, 6), ClientRetriesMarked: s.chanceAfterRetiredDraw(0.5),
		KeyCaching: s.number%2 == 0, PolledDiscovery: s.number%4 != 3, LoadReports: balance.LoadReportMode(s.number % 3),
		LoadReportFields: s.drawFields(), MaxAttempts: 1 + s.number%5,
	}
	s.rated = s.random.IntN(4) > 0
	c.Cancellation = s.chanceAfterRetiredDraw(0.7)
	c.RetryAfter = s.chanceAfterRetiredDraw(0.5)
	c.MaxRetryAfter, c.ConnectTimeout, c.ConnIdleTimeout = s.span(20, 2000), s.span(50, 500), s.span(0, 20000)
	s.random.IntN(100) // two removed limits
	s.random.IntN(2)
	c.InstanceIndex = s.random.IntN(c.InstanceCount)
	c.HealthChecks = c.LoadReports == balance.LoadReportsPolled && s.chance(0.8) || s.chance(0.6)
	c.DrainGrace, c.WarmUpInitialFraction, c.WarmUpDuration = s.span(500, 5000), s.between(0.05, 0.5), s.span(0, 20000)
	c.OverloadFactor, c.OverloadWindow = s.between(1, 4), s.span(300, 3000)
	c.MaxPollInterval = balance.Milliseconds(s.random.IntN(3)) * 6000
	s.retireDraws(1)
	if !s.chance(0.4) { // the weights of the score, which were removed
		s.retireDraws(5)
	}
	c.Costs = s.drawCosts()
	for range 1 + s.random.IntN(6) {
		c.Classes = append(c.Classes, s.drawClass())
	}
	for range s.random.IntN(6) {
		c.Tenants = append(c.Tenants, s.drawTenant())
	}
	return c
}

func (s *simulation) drawFields() []balance.LoadField {
	fields := make([]balance.LoadField, 1+s.random.IntN(6))
	for i := range fields {
		fields[i] = balance.LoadField(s.random.IntN(int(balance.LoadFieldErrorRate) + 1))
	}
	fields[s.random.IntN(len(fields))] = balance.LoadFieldInFlight
	return fields
}

func (s *simulation) drawCosts() balance.Costs {
	var costs balance.Costs
	costs.CrossZone = s.between(0, 0.1)
	s.retireDraws(1)
	costs.NewConnection, costs.HealthCheck = s.between(0, 0.05), s.between(0, 0.02)
	s.retireDraws(3)
	return costs
}

func (s *simulation) drawClass() balance.Class {
	class := balance.Class{
		LatencyObjective: s.span(40, 800), Idempotency: balance.Idempotency(s.random.IntN(3)),
		DedupScope: balance.DedupScope(s.random.IntN(3)), DedupWindow: s.span(100, 4000),
	}
	s.retireDraws(1)
	class.Deadline, class.PriorityWeight = class.LatencyObjective*s.span(1, 5), s.between(0.1, 10)
	class.LateWeight, class.Streaming = s.random.Float64()*s.random.Float64(), s.chance(0.2)
	return class
}

func (s *simulation) drawTenant() balance.Tenant {
	if s.chance(0.3) {
		return balance.Tenant{}
	}
	s.retireDraws(1)
	return balance.Tenant{QuotaShare: s.between(0.01, 0.5)}
}

// drawFleet draws the initial endpoints; a third of the configurations has many.
func (s *simulation) drawFleet() {
	count := 3 + s.random.IntN(20)
	if s.number%3 == 1 {
		count = 21 + s.random.IntN(80)
	} else if s.number%8 == 2 {
		count = 100 + s.random.IntN(301)
	}
	s.zones, s.endpointsPerCell = 1+s.random.IntN(4), 1+s.random.IntN(4)
	s.silentUntil = make([]balance.Milliseconds, s.zones)
	for range count {
		endpoint := s.addEndpoint(0)
		if s.chance(0.1) {
			endpoint.entry.StartedAt = s.now - s.span(0, 20000)
		}
		if s.chance(0.15) {
			s.drawBehaviour(endpoint)
		}
	}
}

func (s *simulation) addEndpoint(startedAt balance.Milliseconds) *simulatedEndpoint {
	s.lastEndpoint++
	cell := int(s.lastEndpoint) / s.endpointsPerCell
	endpoint := &simulatedEndpoint{entry: balance.Endpoint{
		ID: s.lastEndpoint*7919%100003 + 1, StartedAt: startedAt, Cell: cell, Zone: cell % s.zones, MachineType: s.random.IntN(3),
	}}
	if s.rated {
		endpoint.entry.Rating = s.between(0.2, 3)
	}
	s.endpoints = append(s.endpoints, endpoint)
	s.byID[endpoint.entry.ID] = endpoint
	return endpoint
}

func (s *simulation) drawBehaviour(endpoint *simulatedEndpoint) {
	endpoint.behaviour = behaviour(s.random.IntN(int(behaviourCount)))
	endpoint.failedClass = s.random.IntN(len(s.config.Classes))
}

// run executes the script.
func (s *simulation) run() {
	s.start()
	arrival := s.now
	for s.events < s.eventLimit {
		s.changeWhenDue()
		if len(s.pending) > 0 && s.pending[0].at <= arrival {
			next := heap.Pop(&s.pending).(delivery)
			s.now = max(s.now, next.at)
			next.deliver()
			continue
		}
		s.now = max(s.now, arrival)
		s.sendRequest()
		arrival = s.now + balance.Milliseconds(s.random.ExpFloat64())*s.interval*balance.Milliseconds(s.rush)
	}
}

// start starts a balancer with the endpoints that were seen last.
func (s *simulation) start() {
	s.balancer = balance.New(s.config)
	s.perform(s.balancer.Start(s.now))
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateCachedSnapshot, Endpoints: s.entries()})
}

// later plans a delivery.
func (s *simulation) later(delay balance.Milliseconds, deliver func()) {
	s.planned++
	heap.Push(&s.pending, delivery{at: s.now + delay, order: s.planned, deliver: deliver})
}

// handle gives the balancer an event that must be accepted.
func (s *simulation) handle(event balance.Event) {
	if s.give(event) {
		s.t.Errorf("configuration %d, event %d: unexpected error", s.number, s.events)
	}
}

// handleImpossible gives the balancer an event that must be reported as an error.
func (s *simulation) handleImpossible(event balance.Event) {
	if !s.give(event) {
		s.t.Errorf("configuration %d, event %d: no error for an invalid event", s.number, s.events)
	}
}

// give hands over an event, performs the actions, and reports whether an error came.
func (s *simulation) give(event balance.Event) bool {
	s.events++
	s.digest.integer(s.events)
	actions, err := s.balancer.Handle(s.now, event)
	s.digest.boolean(err != nil)
	s.perform(actions)
	return err != nil
}

// perform hashes actions and does what they say.
func (s *simulation) perform(actions []balance.Action) {
	s.digest.integer(len(actions))
	for i := range actions {
		s.digest.action(&actions[i])
		s.actionCounts[recordedKinds[actions[i].Kind]]++
		s.act(actions[i])
	}
}

func (s *simulation) act(action balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		s.send(s.requests[action.Request], s.byID[action.Endpoint])
	case balance.RejectRequest, balance.FailRequest:
		s.requests[action.Request].answered = true
	case balance.CancelAttempt:
		s.cancel(s.requests[action.Request], action.Attempt)
	case balance.SetTimer:
		s.later(action.Delay, func() { s.handle(balance.TimerFired{Token: action.Token}) })
	case balance.CheckHealth:
		s.checkHealth(s.byID[action.Endpoint])
	case balance.WatchEndpoints:
		s.later(s.span(2, 300), s.completePoll)
	}
}

// send begins an attempt and plans how it goes on.
func (s *simulation) send(request *simulatedRequest, endpoint *simulatedEndpoint) {
	attempt := &simulatedAttempt{endpoint: endpoint, live: true}
	number := len(request.attempts)
	request.attempts = append(request.attempts, attempt)
	endpoint.inFlight++
	result, latency := s.drawOutcome(request, endpoint)
	upload := max(0, request.uploadedAt-s.now)
	if left := request.deadline - s.now - upload; latency > left {
		result, latency = balance.TimedOut, max(0, left)
	}
	if result == balance.OK && request.class.Streaming {
		s.later(upload+latency, func() { s.beginStream(request, number, latency) })
		return
	}
	if result == balance.OK && s.chance(0.3) {
		s.later(upload+latency*0.6, func() { s.beginResponse(request, number, latency*0.6) })
		if s.chance(0.1) {
			result = balance.ConnReset
		}
	}
	s.later(upload+latency, func() { s.endAttempt(request, number, result, latency) })
}

// drawOutcome draws how an attempt would end if the client waited forever.
func (s *simulation) drawOutcome(request *simulatedRequest, endpoint *simulatedEndpoint) (balance.Result, balance.Milliseconds) {
	factor := balance.Milliseconds(0.05 + 0.2*s.random.ExpFloat64())
	latency := request.class.LatencyObjective * factor * balance.Milliseconds(s.slowdown) * (1 + 0.05*balance.Milliseconds(endpoint.inFlight))
	if s.now < s.silentUntil[endpoint.entry.Zone] {
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	}
	quick := s.span(0.5, 10)
	if s.chance(0.02) {
		return balance.Result(s.random.IntN(resultKinds-1) + 1), quick
	}
	failing := s.chance(0.8)
	switch endpoint.behaviour {
	case isSlow:
		return balance.OK, latency * 6
	case hangs:
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	case isUnreachable:
		return balance.ConnectFailed, quick
	case fails:
		return resultIf(failing, balance.ServerError), quick
	case failsOneClass:
		return resultIf(request.classIndex == endpoint.failedClass, balance.ServerError), latency
	case isFull:
		return resultIf(failing, balance.Rejected), quick
	case resetsConnections:
		return resultIf(failing, balance.ConnReset), latency
	}
	return balance.OK, latency
}

func resultIf(failing bool, result balance.Result) balance.Result {
	if failing {
		return result
	}
	return balance.OK
}

// beginStream starts a streamed response, which ends some time later.
func (s *simulation) beginStream(request *simulatedRequest, number int, latency balance.Milliseconds) {
	attempt := request.attempts[number]
	if !attempt.live {
		return
	}
	request.answered = true
	s.handle(balance.StreamStarted{Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Latency: latency})
	result := balance.OK
	if s.chance(0.1) {
		result = balance.ConnReset
	}
	rest := s.span(50, 3000)
	s.later(rest, func() { s.endAttempt(request, number, result, latency+rest) })
}

func (s *simulation) beginResponse(request *simulatedRequest, number int, latency balance.Milliseconds) {
	if request.attempts[number].live {
		s.handle(balance.ResponseStarted{Request: request.id, Attempt: number, Latency: latency})
	}
}

// endAttempt reports the outcome of an attempt, unless it has ended already.
func (s *simulation) endAttempt(request *simulatedRequest, number int, result balance.Result, latency balance.Milliseconds) {
	attempt := request.attempts[number]
	if !attempt.live {
		return
	}
	attempt.live = false
	attempt.endpoint.inFlight--
	request.answered = request.answered || result == balance.OK
	outcome := balance.Outcome{
		Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Result: result, Duration: latency,
		Finished: request.answered, NoRetry: !request.answered && s.chance(0.03),
	}
	if s.config.LoadReports == balance.LoadReportsPiggybacked {
		outcome.LoadReport = s.drawReport(attempt.endpoint)
	}
	s.handle(outcome)
}

// cancel ends an attempt early, unless its outcome comes before.
func (s *simulation) cancel(request *simulatedRequest, number int) {
	delay := s.span(0, 5)
	s.later(delay, func() { s.endAttempt(request, number, balance.Cancelled, delay) })
}

func (s *simulation) drawReport(endpoint *simulatedEndpoint) []float32 {
	report := make([]float32, s.random.IntN(len(s.config.LoadReportFields)+2))
	for i := range report {
		report[i] = float32(endpoint.inFlight + s.random.IntN(3))
	}
	return report
}

// checkHealth completes a health check by the present behaviour of the endpoint.
func (s *simulation) checkHealth(endpoint *simulatedEndpoint) {
	latency, result := s.span(0.5, 8), balance.OK
	silent := s.now < s.silentUntil[endpoint.entry.Zone] || endpoint.behaviour == hangs
	switch {
	case silent:
		latency, result = s.span(20, 200), balance.TimedOut
	case endpoint.behaviour == isUnreachable:
		result = balance.ConnectFailed
	case s.chance(0.05):
		result = balance.Result(s.random.IntN(resultKinds))
	case s.chance(0.05):
		latency *= 20
	}
	s.later(latency, func() {
		answer := balance.HealthCheckResult{Endpoint: endpoint.entry.ID, Result: result, Duration: latency}
		if result == balance.OK {
			answer.LoadReport = s.drawReport(endpoint)
		}
		s.handle(answer)
	})
}

// completePoll completes a poll of the endpoints.
func (s *simulation) completePoll() {
	if s.chance(0.4) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateFailed})
		return
	}
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateSnapshot, Endpoints: s.entries()})
}

func (s *simulation) entries() []balance.Endpoint {
	list := make([]balance.Endpoint, len(s.endpoints))
	for i, endpoint := range s.endpoints {
		list[i] = endpoint.entry
	}
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// sendRequest draws a request and the behaviour of its client.
func (s *simulation) sendRequest() {
	s.lastRequest++
	event := balance.Request{
		ID: s.lastRequest, Class: s.random.IntN(len(s.config.Classes)), Tenant: s.random.IntN(len(s.config.Tenants)+3) - 1,
		WorkHint: float64(s.random.IntN(2)) * s.random.Float64(), ClientRetry: s.chance(0.15), Write: s.chance(0.3),
		Uploading: s.chance(0.05),
	}
	if s.chance(0.7) {
		event.StickyKey = s.keys.Uint64()
	}
	class := s.config.Classes[event.Class]
	if len(s.dropped) > 0 && s.chance(0.1) {
		event.ClassOverride, event.MaxAttempts = s.dropped[s.random.IntN(len(s.dropped))], 1+s.random.IntN(3)
		event.Class, class = -1, *event.ClassOverride
	}
	event.Remaining = class.Deadline
	if event.ClientRetry || s.chance(0.05) {
		event.Remaining *= s.span(0.1, 1)
	}
	s.openRequest(event, class)
}

// openRequest gives a request to the balancer and plans the end of its upload.
func (s *simulation) openRequest(event balance.Request, class balance.Class) {
	request := &simulatedRequest{
		id: event.ID, classIndex: event.Class, class: class, deadline: s.now + event.Remaining, uploadedAt: s.now,
	}
	if event.Uploading {
		upload := s.span(5, 1500)
		request.uploadedAt += upload
		request.deadline += upload
		s.later(upload, func() {
			s.handle(balance.UploadComplete{Request: event.ID, Remaining: event.Remaining, BodyDiscarded: s.chance(0.3)})
		})
	}
	s.requests[event.ID] = request
	s.recent = append(s.recent, request)
	if len(s.recent) > 30 {
		s.recent = s.recent[1:]
	}
	s.handle(event)
}

// changeWhenDue changes the environment at intervals, by the count of events.
func (s *simulation) changeWhenDue() {
	if s.events >= s.nextChange {
		s.nextChange = s.events + eventsBetweenChanges
		s.changeEnvironment()
	}
	if s.events >= s.nextSettings {
		s.nextSettings += s.eventLimit * 3 / 10
		s.reconfigure()
	}
	if s.events >= s.nextHandover {
		s.nextHandover = s.eventLimit * 2
		if s.number%4 != 1 {
			s.replaceBalancer()
		}
	}
}

// changeEnvironment makes one random change.
func (s *simulation) changeEnvironment() {
	s.digest.integer(s.balancer.UnavailableCount(s.now))
	switch s.random.IntN(16) {
	case 0:
		s.slowdown = []float64{1, 1, 1, 2, 6}[s.random.IntN(5)]
	case 1:
		s.rush = []float64{1, 1, 0.2, 0.5, 5}[s.random.IntN(5)]
	case 2:
		s.now += s.span(200, 40000)
	case 3:
		s.silenceZone(s.random.IntN(s.zones))
	case 4, 5:
		s.drawBehaviour(s.anyEndpoint())
	case 6, 7, 8, 9:
		s.anyEndpoint().behaviour = behavesWell
	case 10, 11, 12:
		s.churn()
	case 13:
		s.completePoll()
	case 14:
		s.disconnectClients()
	case 15:
		s.sendInvalidEvents()
	}
}

func (s *simulation) anyEndpoint() *simulatedEndpoint {
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// silenceZone cuts a zone off for a while. Some such zones are taken out of the list while they are silent.
func (s *simulation) silenceZone(zone int) {
	span := s.span(200, 6000)
	s.silentUntil[zone] = s.now + span
	if s.zones > 1 && s.chance(0.3) {
		s.later(span/3, func() { s.setZoneState(zone, balance.Draining) })
		s.later(span, func() { s.setZoneState(zone, balance.Ready) })
	}
}

// setZoneState changes the state of all endpoints of a zone and sends the update.
func (s *simulation) setZoneState(zone int, state balance.EndpointState) {
	var changed []balance.Endpoint
	for _, endpoint := range s.endpoints {
		if endpoint.entry.Zone == zone {
			endpoint.entry.State = state
			changed = append(changed, endpoint.entry)
		}
	}
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateDelta, Endpoints: changed})
}

// churn changes an endpoint and sends the update in most cases.
func (s *simulation) churn() {
	endpoint := s.anyEndpoint()
	switch s.random.IntN(5) {
	case 0:
		endpoint = s.addEndpoint(s.now - s.span(0, 500))
	case 1, 2:
		endpoint.entry.StartedAt = s.now - s.span(0, 500)
		endpoint.behaviour = behavesWell
	case 3:
		endpoint.entry.State = balance.Draining
	case 4:
		s.retire(endpoint)
	}
	if s.chance(0.8) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateDelta, Endpoints: []balance.Endpoint{endpoint.entry}})
	}
}

// retire removes an endpoint from the fleet, or makes a draining one ready again; two always remain.
func (s *simulation) retire(endpoint *simulatedEndpoint) {
	if endpoint.entry.State == balance.Draining && s.chance(0.5) {
		endpoint.entry.State = balance.Ready
		return
	}
	if len(s.endpoints) <= 2 {
		return
	}
	endpoint.entry.State, endpoint.behaviour = balance.Gone, isUnreachable
	place := slices.Index(s.endpoints, endpoint)
	s.endpoints = slices.Delete(s.endpoints, place, place+1)
}

// disconnectClients ends the connections of the clients of some recent requests.
func (s *simulation) disconnectClients() {
	for range 5 {
		if len(s.recent) == 0 {
			return
		}
		request := s.recent[s.random.IntN(len(s.recent))]
		request.answered = true
		s.handle(balance.ClientGone{Request: request.id})
	}
}

// sendInvalidEvents sends invalid events and events that come too late to matter.
func (s *simulation) sendInvalidEvents() {
	unknown := s.lastRequest + 1000000
	s.handleImpossible(balance.Request{ID: unknown, Class: len(s.config.Classes) + s.random.IntN(3), Remaining: 100})
	s.handleImpossible(balance.Request{ID: unknown, Class: -1, Remaining: 100})
	s.handleImpossible(balance.Outcome{Request: unknown, Result: balance.ServerError})
	s.handleImpossible(balance.Outcome{Request: s.lastRequest, Attempt: 50, Result: balance.OK})
	s.handle(balance.ClientGone{Request: unknown})
	s.handle(balance.UploadComplete{Request: unknown, Remaining: 100})
	s.handle(balance.ResponseStarted{Request: unknown})
	s.handle(balance.StreamStarted{Request: unknown})
	s.handle(balance.TimerFired{Token: uint64(unknown)})
	s.handle(balance.HealthCheckResult{Endpoint: 1 << 40, Result: balance.OK, LoadReport: []float32{1}})
	s.handle(balance.ClientGone{Request: unknown}) // formerly a message from another instance, without effect either
}

// reconfigure draws other settings, in which some of the classes and tenants are the former ones, in another order.
func (s *simulation) reconfigure() {
	former := s.config
	s.config = s.drawConfig()
	s.config.LoadReports, s.config.LoadReportFields, s.config.Zone = former.LoadReports, former.LoadReportFields, former.Zone
	classes, tenants := s.drawPlaces(len(former.Classes)), s.drawPlaces(len(former.Tenants))
	s.config.Classes, s.config.Tenants = nil, nil
	for _, place := range classes {
		s.config.Classes = append(s.config.Classes, s.keptClass(former.Classes, place))
	}
	for _, place := range tenants {
		s.config.Tenants = append(s.config.Tenants, s.drawTenant())
		if place >= 0 && s.chance(0.5) {
			s.config.Tenants[len(s.config.Tenants)-1] = former.Tenants[place]
		}
	}
	for place := range former.Classes {
		if !slices.Contains(classes, place) {
			s.dropped = append(s.dropped, &former.Classes[place])
		}
	}
	s.balancer.Reconfigure(s.config, classes, tenants)
}

// keptClass returns a former class, perhaps with another priority weight, or a new one.
func (s *simulation) keptClass(former []balance.Class, place int) balance.Class {
	if place < 0 {
		return s.drawClass()
	}
	class := former[place]
	if s.chance(0.5) {
		class.PriorityWeight = s.between(0.1, 10)
	}
	return class
}

// drawPlaces draws for new classes or tenants which of the former ones they were, or -1.
func (s *simulation) drawPlaces(count int) []int {
	places := []int{-1}
	for _, place := range s.random.Perm(count) {
		if s.chance(0.75) {
			places = append(places, place)
		}
	}
	s.random.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	return places
}

// replaceBalancer imports the state into a new balancer; open requests are dropped.
func (s *simulation) replaceBalancer() {
	state := s.balancer.ExportState(s.now)
	s.digest.state(&state)
	if s.number%8 == 2 {
		state.MinLatencyRatio, state.CapacityDrift, state.SteadyShed = math.NaN(), 5, -1
		state.StartedAt, state.ResponseCount = s.now+1000, math.Inf(1)
	}
	s.pending, s.recent = nil, nil
	for _, endpoint := range s.endpoints {
		endpoint.inFlight = 0
	}
	s.config.Seed = s.random.Uint64()
	s.start()
	s.balancer.ImportState(s.now, state, identity(len(s.config.Classes)), identity(len(s.config.Tenants)))
	s.digest.integer(s.balancer.UnavailableCount(s.now))
}

// identity returns the index table of unchanged classes or tenants.
func identity(count int) []int {
	places := make([]int, count)
	for i := range places {
		places[i] = i
	}
	return places
}
