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

// This file is a characterization test. It runs seeded simulations against the exported interface of the package and
// compares a hash of all decisions with testdata/golden.txt. A change that must not alter the behaviour must not
// alter that file; a change of behaviour rewrites the file with -update and says so in its commit. The hashes cover
// the bits of floating-point numbers. They are valid on all processors if the compiler does not fuse multiplications and
// additions, which it does on arm64 without -gcflags=all=-d=fmahash=qn.

const (
	goldenFile             = "testdata/golden.txt"
	configurationCount     = 32
	startTime              = 1e6                    // milliseconds
	smallFleetEvents       = 6000                   // events per configuration
	largeFleetEvents       = 3000                   // events per configuration with a large fleet
	largeFleetMinEndpoints = 100                    // endpoints of a large fleet
	recordedKindCount      = len(recordedKinds) + 3 // three further kinds have been removed
	resultCount            = int(balance.NotAttempted) + 1
	eventsBetweenChanges   = 40 // events between two changes of the environment
	maxRecentRequests      = 30 // requests whose clients may disconnect
	stickyKeyCount         = 5000
)

// recordedKinds maps the kinds of actions to the numbers that they had when the golden file was recorded.
var recordedKinds = [...]int{
	balance.SendAttempt: 0, balance.RejectRequest: 1, balance.FailRequest: 2, balance.CancelAttempt: 3,
	balance.SetTimer: 4, balance.CheckHealth: 5, balance.Log: 8, balance.WatchEndpoints: 9,
}

var update = flag.Bool("update", false, "rewrite the golden file")

// TestGoldenDecisions compares the decisions in all simulations with the recorded decisions.
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

// writeGolden writes the lines of all configurations to the golden file.
func writeGolden(t *testing.T, lines []string) {
	t.Helper()
	if err := os.WriteFile(goldenFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readGolden returns the lines of the golden file.
func readGolden(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
}

// runConfiguration runs the simulation of one configuration and returns its line for the golden file.
func runConfiguration(t *testing.T, number int) string {
	s := newSimulation(t, number)
	size, classes, tenants := len(s.endpoints), len(s.config.Classes), len(s.config.Tenants)
	s.run()
	kinds := make([]string, recordedKindCount)
	for kind, count := range s.actionCounts {
		kinds[kind] = fmt.Sprint(count)
	}
	return fmt.Sprintf("%d servers %d classes %d tenants %d reports %d attempts %d events %d actions %s hash %x",
		number, size, classes, tenants, int(s.initialLoadReports), s.initialMaxAttempts, s.eventCount,
		strings.Join(kinds, ","), s.digest.hash.Sum(nil))
}

// digest hashes the values of decisions. Names of types and fields are not part of the hash.
type digest struct {
	hash   hash.Hash
	buffer [8]byte
}

func (d *digest) writeUint64(value uint64) {
	binary.LittleEndian.PutUint64(d.buffer[:], value)
	d.hash.Write(d.buffer[:])
}

func (d *digest) writeInt(value int) { d.writeUint64(uint64(int64(value))) }

func (d *digest) writeFloats(values ...float64) {
	for _, value := range values {
		d.writeUint64(math.Float64bits(value))
	}
}

func (d *digest) writeTimes(values ...balance.Milliseconds) {
	for _, value := range values {
		d.writeFloats(float64(value))
	}
}

func (d *digest) writeBool(value bool) {
	if value {
		d.writeUint64(1)
	} else {
		d.writeUint64(0)
	}
}

// writeAction hashes an action. It excludes the text of log lines, which may change.
func (d *digest) writeAction(action *balance.Action) {
	d.writeInt(recordedKinds[action.Kind])
	if action.Kind == balance.Log {
		return
	}
	d.writeUint64(uint64(action.Request))
	d.writeInt(action.Attempt)
	d.writeUint64(uint64(action.Endpoint))
	d.writeTimes(action.Deadline + action.RetryAfter + action.Delay) // an action has at most one of these
	d.writeUint64(action.Token)
	d.writeInt(0) // receiver and length of messages to other instances, which have been removed
	d.writeInt(0)
}

// writeState hashes the exported state of a balancer.
func (d *digest) writeState(state *balance.LearnedState) {
	d.writeTimes(state.StartedAt, state.LastResponseAt, state.ResponsesCountedAt, state.LastRequestAt)
	d.writeFloats(state.MinLatencyRatio, state.MeanLatencyRatio, state.LatencyRatioSamples, state.LateFraction)
	d.writeFloats(state.LongTermResponseCount, state.ShortTermResponseCount, state.ConnectFailureFraction)
	d.writeTimes(state.TimePerInFlight)
	d.writeFloats(state.TimePerInFlightSamples, state.BusyFraction)
	d.writeFloats(state.CapacityUpdates, state.MeanCapacityStep, state.SteadyShedFraction)
	d.writeMap(state.MachineTypeCapacityLogs)
	d.writeMap(state.ZoneCapacityLogs)
	d.writeInt(len(state.Classes))
	for _, class := range state.Classes {
		d.writeFloats(class.Requests, class.LatencySamples)
		d.writeTimes(class.MeanLatency, class.LatencyDeviation, class.LongestTimeout, class.LastFailureAt)
		d.writeFloats(class.MeanScore)
	}
	d.writeFloatList(state.TenantRequests)
	d.writeInt(len(state.Endpoints))
	for i := range state.Endpoints {
		d.writeEndpoint(&state.Endpoints[i])
	}
}

func (d *digest) writeEndpoint(endpoint *balance.LearnedEndpoint) {
	d.writeUint64(uint64(endpoint.ID))
	d.writeFloats(endpoint.CapacityLog)
	d.writeTimes(endpoint.LastErrorAt, endpoint.EjectedUntil)
	d.writeInt(endpoint.ConsecutiveErrors)
	d.writeInt(endpoint.ConsecutiveEjections)
	d.writeInt(endpoint.ConnectErrors)
	d.writeTimes(endpoint.SlowStartSince)
	d.writeFloats(endpoint.SlowStartTokens)
	d.writeTimes(endpoint.TokensUpdatedAt, endpoint.LastResponseAt, endpoint.SlowUntil)
	d.writeInt(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.writeFloats(score.Value)
	}
	d.writeInt(len(endpoint.ClassScores))
	for _, score := range endpoint.ClassScores {
		d.writeTimes(score.UpdatedAt)
	}
}

func (d *digest) writeFloatList(values []float64) {
	d.writeInt(len(values))
	d.writeFloats(values...)
}

// writeMap hashes a map in the order of its keys.
func (d *digest) writeMap(values map[int]float64) {
	d.writeInt(len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		d.writeInt(key)
		d.writeFloats(values[key])
	}
}

// behaviour is how a simulated endpoint currently responds.
type behaviour int

const (
	behaviourHealthy behaviour = iota
	behaviourSlow
	behaviourHangs         // accepts attempts and never responds
	behaviourFails         // returns errors to most attempts, quickly
	behaviourFailsOneClass // returns errors for failedClass only
	behaviourUnreachable   // refuses connections
	behaviourRejects       // rejects most attempts
	behaviourResets        // resets most connections
	behaviourCount
)

// simulatedEndpoint is one endpoint of the simulated fleet.
type simulatedEndpoint struct {
	entry       balance.Endpoint
	behaviour   behaviour
	failedClass int
	inFlight    int
}

// simulatedAttempt is an attempt that the balancer has sent.
type simulatedAttempt struct {
	endpoint *simulatedEndpoint
	inFlight bool
}

// simulatedRequest is a request of the simulation.
type simulatedRequest struct {
	id         balance.RequestID
	classIndex int // -1: the class is no longer configured
	class      balance.Class
	deadline   balance.Milliseconds
	uploadedAt balance.Milliseconds // end of the upload
	attempts   []*simulatedAttempt
	finished   bool // has its final response, or needs none
}

// scheduledCall is a function that runs at a given time. Calls of the same time run in the order in which they were
// scheduled.
type scheduledCall struct {
	at    balance.Milliseconds
	order int
	run   func()
}

// callQueue is a heap of scheduled calls, ordered by time.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q callQueue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(item any) { *q = append(*q, item.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// chanceAfterSkippedDraw skips the random number of a removed setting and then draws as chance does.
func (s *simulation) chanceAfterSkippedDraw(probability float64) bool {
	s.random.Float64()
	return s.chance(probability)
}

// skipDraws skips the random numbers of removed settings, so that later draws stay as they were recorded.
func (s *simulation) skipDraws(count int) {
	for range count {
		s.random.Float64()
	}
}

// simulation simulates the endpoints, the clients and the network of one balancer.
type simulation struct {
	t                  *testing.T
	number             int
	random             *rand.Rand
	digest             digest
	config             balance.Config
	balancer           *balance.Balancer
	now                balance.Milliseconds
	eventCount         int
	eventLimit         int
	actionCounts       [recordedKindCount]int
	initialLoadReports balance.LoadReportMode
	initialMaxAttempts int

	pending                callQueue
	scheduledCount         int
	endpoints              []*simulatedEndpoint
	byID                   map[balance.EndpointID]*simulatedEndpoint // for lookups only
	requests               map[balance.RequestID]*simulatedRequest
	recentRequests         []*simulatedRequest // latest requests; some of their clients disconnect
	lastRequest            balance.RequestID
	lastEndpoint           balance.EndpointID
	zones                  int
	endpointsPerCell       int
	hasRatings             bool                   // new endpoints have a rating
	unresponsiveUntil      []balance.Milliseconds // by zone
	slowdown               float64                // factor of all latencies
	meanInterval           balance.Milliseconds   // mean time between requests at intervalFactor 1
	intervalFactor         float64                // current factor of meanInterval
	removedClasses         []*balance.Class       // no longer configured; some requests still use them
	nextChangeAtEvent      int                    // event count of the next change of the environment
	nextReconfigureAtEvent int
	nextHandoverAtEvent    int
}

func newSimulation(t *testing.T, number int) *simulation {
	s := &simulation{
		t: t, number: number, random: rand.New(rand.NewPCG(uint64(number), 20)), digest: digest{hash: sha256.New()},
		now: startTime, byID: map[balance.EndpointID]*simulatedEndpoint{},
		requests: map[balance.RequestID]*simulatedRequest{}, slowdown: 1, intervalFactor: 1,
	}
	s.config = s.drawConfig()
	s.initialLoadReports, s.initialMaxAttempts = s.config.LoadReports, s.config.MaxAttempts
	s.meanInterval = s.duration(2, 25)
	s.drawFleet()
	s.eventLimit = smallFleetEvents
	if len(s.endpoints) >= largeFleetMinEndpoints {
		s.eventLimit = largeFleetEvents
	}
	s.nextChangeAtEvent = eventsBetweenChanges
	s.nextReconfigureAtEvent, s.nextHandoverAtEvent = s.eventLimit*2/5, s.eventLimit*3/5
	return s
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// uniform draws a number from [low, high).
func (s *simulation) uniform(low, high float64) float64 {
	return low + (high-low)*s.random.Float64()
}

// exponential draws a number from an exponential distribution with mean 1. It has the same bits on all processors,
// unlike rand.ExpFloat64, which uses math.Exp and math.Log.
func (s *simulation) exponential() float64 { return -math.Log1p(-s.random.Float64()) }

// stickyKey draws a sticky key. The key n is about n times as rare as the key 1.
func (s *simulation) stickyKey() uint64 {
	return uint64(1 + math.Expm1(s.random.Float64()*math.Log1p(stickyKeyCount)))
}

// duration draws a span of time from [low, high) milliseconds.
func (s *simulation) duration(low, high float64) balance.Milliseconds {
	return balance.Milliseconds(s.uniform(low, high))
}

// drawConfig draws all settings. Some depend on the configuration's number, so that each of their values occurs.
func (s *simulation) drawConfig() balance.Config {
	c := balance.Config{
		Seed: s.random.Uint64(), InstanceCount: []int{1, 3, 20, 200}[s.number/2%4], Zone: s.random.IntN(3),
		OverQuotaWeight: s.random.Float64(), MinBatchInterval: s.duration(0, 6),
		ClientRetriesMarked: s.chanceAfterSkippedDraw(0.5), KeyCaching: s.number%2 == 0,
		PolledDiscovery: s.number%4 != 3, LoadReports: balance.LoadReportMode(s.number % 3),
		LoadReportFields: s.drawLoadReportFields(), MaxAttempts: 1 + s.number%5,
	}
	s.hasRatings = s.random.IntN(4) > 0
	c.Cancellation = s.chanceAfterSkippedDraw(0.7)
	c.RetryAfter = s.chanceAfterSkippedDraw(0.5)
	c.MaxRetryAfter, c.ConnectTimeout, c.ConnIdleTimeout = s.duration(20, 2000), s.duration(50, 500), s.duration(0, 20000)
	s.random.IntN(100) // two limits that have been removed
	s.random.IntN(2)
	c.InstanceIndex = s.random.IntN(c.InstanceCount)
	c.HealthChecks = c.LoadReports == balance.LoadReportsPolled && s.chance(0.8) || s.chance(0.6)
	c.DrainGrace, c.SlowStartInitialFraction = s.duration(500, 5000), s.uniform(0.05, 0.5)
	c.SlowStartDuration = s.duration(0, 20000)
	c.SlowStartOverloadFactor, c.SlowStartOverloadWindow = s.uniform(1, 4), s.duration(300, 3000)
	c.MaxPollInterval = balance.Milliseconds(s.random.IntN(3)) * 6000
	s.skipDraws(1)
	if !s.chance(0.4) { // weights of the score, which have been removed
		s.skipDraws(5)
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

func (s *simulation) drawLoadReportFields() []balance.LoadField {
	fields := make([]balance.LoadField, 1+s.random.IntN(6))
	for i := range fields {
		fields[i] = balance.LoadField(s.random.IntN(int(balance.LoadFieldErrorRate) + 1))
	}
	fields[s.random.IntN(len(fields))] = balance.LoadFieldInFlight
	return fields
}

func (s *simulation) drawCosts() balance.Costs {
	var costs balance.Costs
	costs.CrossZone = s.uniform(0, 0.1)
	s.skipDraws(1)
	costs.NewConnection, costs.HealthCheck = s.uniform(0, 0.05), s.uniform(0, 0.02)
	s.skipDraws(3)
	return costs
}

func (s *simulation) drawClass() balance.Class {
	class := balance.Class{
		LatencyObjective: s.duration(40, 800), Idempotency: balance.Idempotency(s.random.IntN(3)),
		DedupScope: balance.DedupScope(s.random.IntN(3)), DedupWindow: s.duration(100, 4000),
	}
	s.skipDraws(1)
	class.Deadline, class.PriorityWeight = class.LatencyObjective*s.duration(1, 5), s.uniform(0.1, 10)
	class.LateWeight, class.Streaming = s.random.Float64()*s.random.Float64(), s.chance(0.2)
	return class
}

func (s *simulation) drawTenant() balance.Tenant {
	if s.chance(0.3) {
		return balance.Tenant{}
	}
	s.skipDraws(1)
	return balance.Tenant{QuotaShare: s.uniform(0.01, 0.5)}
}

// drawFleet draws the initial endpoints. More than a third of the configurations have many of them.
func (s *simulation) drawFleet() {
	count := 3 + s.random.IntN(20)
	if s.number%3 == 1 {
		count = 21 + s.random.IntN(80)
	} else if s.number%8 == 2 {
		count = 100 + s.random.IntN(301)
	}
	s.zones, s.endpointsPerCell = 1+s.random.IntN(4), 1+s.random.IntN(4)
	s.unresponsiveUntil = make([]balance.Milliseconds, s.zones)
	for range count {
		endpoint := s.addEndpoint(0)
		if s.chance(0.1) {
			endpoint.entry.StartedAt = s.now - s.duration(0, 20000)
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
		ID: s.lastEndpoint*7919%100003 + 1, StartedAt: startedAt, Cell: cell, Zone: cell % s.zones,
		MachineType: s.random.IntN(3),
	}}
	if s.hasRatings {
		endpoint.entry.Rating = s.uniform(0.2, 3)
	}
	s.endpoints = append(s.endpoints, endpoint)
	s.byID[endpoint.entry.ID] = endpoint
	return endpoint
}

func (s *simulation) drawBehaviour(endpoint *simulatedEndpoint) {
	endpoint.behaviour = behaviour(s.random.IntN(int(behaviourCount)))
	endpoint.failedClass = s.random.IntN(len(s.config.Classes))
}

// run runs the simulation.
func (s *simulation) run() {
	s.start()
	arrival := s.now
	for s.eventCount < s.eventLimit {
		s.changeWhenDue()
		if len(s.pending) > 0 && s.pending[0].at <= arrival {
			next := heap.Pop(&s.pending).(scheduledCall)
			s.now = max(s.now, next.at)
			next.run()
			continue
		}
		s.now = max(s.now, arrival)
		s.sendRequest()
		arrival = s.now + balance.Milliseconds(s.exponential())*s.meanInterval*balance.Milliseconds(s.intervalFactor)
	}
}

// start starts a balancer with the current endpoints as its cached list.
func (s *simulation) start() {
	s.balancer = balance.New(s.config)
	s.perform(s.balancer.Start(s.now))
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateCachedSnapshot, Endpoints: s.shuffledEntries()})
}

// schedule schedules a call after the given delay.
func (s *simulation) schedule(delay balance.Milliseconds, run func()) {
	s.scheduledCount++
	heap.Push(&s.pending, scheduledCall{at: s.now + delay, order: s.scheduledCount, run: run})
}

// handle sends the balancer an event that it has to accept.
func (s *simulation) handle(event balance.Event) {
	if err := s.dispatch(event); err != nil {
		s.t.Errorf("configuration %d, event %d (%T): got error %v, want none", s.number, s.eventCount, event, err)
	}
}

// handleInvalid sends the balancer an event for which it has to return an error.
func (s *simulation) handleInvalid(event balance.Event) {
	if err := s.dispatch(event); err == nil {
		s.t.Errorf("configuration %d, event %d: got no error for the invalid %T", s.number, s.eventCount, event)
	}
}

// dispatch sends the balancer an event, performs its actions, and returns its error.
func (s *simulation) dispatch(event balance.Event) error {
	s.eventCount++
	s.digest.writeInt(s.eventCount)
	actions, err := s.balancer.Handle(s.now, event)
	s.digest.writeBool(err != nil)
	s.perform(actions)
	return err
}

// perform hashes actions and performs them.
func (s *simulation) perform(actions []balance.Action) {
	s.digest.writeInt(len(actions))
	for i := range actions {
		s.digest.writeAction(&actions[i])
		s.actionCounts[recordedKinds[actions[i].Kind]]++
		s.performAction(actions[i])
	}
}

func (s *simulation) performAction(action balance.Action) {
	switch action.Kind {
	case balance.SendAttempt:
		s.send(s.requests[action.Request], s.byID[action.Endpoint])
	case balance.RejectRequest, balance.FailRequest:
		s.requests[action.Request].finished = true
	case balance.CancelAttempt:
		s.cancel(s.requests[action.Request], action.Attempt)
	case balance.SetTimer:
		s.schedule(action.Delay, func() { s.handle(balance.TimerFired{Token: action.Token}) })
	case balance.CheckHealth:
		s.checkHealth(s.byID[action.Endpoint])
	case balance.WatchEndpoints:
		s.schedule(s.duration(2, 300), s.completePoll)
	}
}

// send starts an attempt and schedules its response.
func (s *simulation) send(request *simulatedRequest, endpoint *simulatedEndpoint) {
	attempt := &simulatedAttempt{endpoint: endpoint, inFlight: true}
	number := len(request.attempts)
	request.attempts = append(request.attempts, attempt)
	endpoint.inFlight++
	result, latency := s.drawOutcome(request, endpoint)
	upload := max(0, request.uploadedAt-s.now)
	if left := request.deadline - s.now - upload; latency > left {
		result, latency = balance.TimedOut, max(0, left)
	}
	if result == balance.OK && request.class.Streaming {
		s.schedule(upload+latency, func() { s.beginStream(request, number, latency) })
		return
	}
	if result == balance.OK && s.chance(0.3) {
		s.schedule(upload+latency*0.6, func() { s.beginResponse(request, number, latency*0.6) })
		if s.chance(0.1) {
			result = balance.ConnReset
		}
	}
	s.schedule(upload+latency, func() { s.endAttempt(request, number, result, latency) })
}

// drawOutcome draws the result and the latency that an attempt would have without a deadline.
func (s *simulation) drawOutcome(
	request *simulatedRequest, endpoint *simulatedEndpoint,
) (balance.Result, balance.Milliseconds) {
	factor := balance.Milliseconds(0.05 + 0.2*s.exponential())
	latency := request.class.LatencyObjective * factor * balance.Milliseconds(s.slowdown) *
		(1 + 0.05*balance.Milliseconds(endpoint.inFlight))
	if s.now < s.unresponsiveUntil[endpoint.entry.Zone] {
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	}
	quick := s.duration(0.5, 10)
	if s.chance(0.02) {
		return balance.Result(s.random.IntN(resultCount-1) + 1), quick
	}
	failing := s.chance(0.8)
	switch endpoint.behaviour {
	case behaviourSlow:
		return balance.OK, latency * 6
	case behaviourHangs:
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	case behaviourUnreachable:
		return balance.ConnectFailed, quick
	case behaviourFails:
		return resultIf(failing, balance.ServerError), quick
	case behaviourFailsOneClass:
		return resultIf(request.classIndex == endpoint.failedClass, balance.ServerError), latency
	case behaviourRejects:
		return resultIf(failing, balance.Rejected), quick
	case behaviourResets:
		return resultIf(failing, balance.ConnReset), latency
	}
	return balance.OK, latency
}

// resultIf returns the given result if failing, and otherwise OK.
func resultIf(failing bool, result balance.Result) balance.Result {
	if failing {
		return result
	}
	return balance.OK
}

// beginStream starts a streamed response and schedules its end.
func (s *simulation) beginStream(request *simulatedRequest, number int, latency balance.Milliseconds) {
	attempt := request.attempts[number]
	if !attempt.inFlight {
		return
	}
	request.finished = true
	s.handle(balance.StreamStarted{
		Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Latency: latency,
	})
	result := balance.OK
	if s.chance(0.1) {
		result = balance.ConnReset
	}
	rest := s.duration(50, 3000)
	s.schedule(rest, func() { s.endAttempt(request, number, result, latency+rest) })
}

func (s *simulation) beginResponse(request *simulatedRequest, number int, latency balance.Milliseconds) {
	if request.attempts[number].inFlight {
		s.handle(balance.ResponseStarted{Request: request.id, Attempt: number, Latency: latency})
	}
}

// endAttempt reports the outcome of an attempt, unless the attempt has already ended.
func (s *simulation) endAttempt(
	request *simulatedRequest, number int, result balance.Result, latency balance.Milliseconds,
) {
	attempt := request.attempts[number]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.endpoint.inFlight--
	request.finished = request.finished || result == balance.OK
	outcome := balance.Outcome{
		Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Result: result, Duration: latency,
		Finished: request.finished, NoRetry: !request.finished && s.chance(0.03),
	}
	if s.config.LoadReports == balance.LoadReportsPiggybacked {
		outcome.LoadReport = s.drawLoadReport(attempt.endpoint)
	}
	s.handle(outcome)
}

// cancel ends an attempt within a few milliseconds, unless it ends before that.
func (s *simulation) cancel(request *simulatedRequest, number int) {
	delay := s.duration(0, 5)
	s.schedule(delay, func() { s.endAttempt(request, number, balance.Cancelled, delay) })
}

func (s *simulation) drawLoadReport(endpoint *simulatedEndpoint) []float32 {
	report := make([]float32, s.random.IntN(len(s.config.LoadReportFields)+2))
	for i := range report {
		report[i] = float32(endpoint.inFlight + s.random.IntN(3))
	}
	return report
}

// checkHealth schedules the result of a health check, which depends on the current behaviour of the endpoint.
func (s *simulation) checkHealth(endpoint *simulatedEndpoint) {
	latency, result := s.duration(0.5, 8), balance.OK
	unresponsive := s.now < s.unresponsiveUntil[endpoint.entry.Zone] || endpoint.behaviour == behaviourHangs
	switch {
	case unresponsive:
		latency, result = s.duration(20, 200), balance.TimedOut
	case endpoint.behaviour == behaviourUnreachable:
		result = balance.ConnectFailed
	case s.chance(0.05):
		result = balance.Result(s.random.IntN(resultCount))
	case s.chance(0.05):
		latency *= 20
	}
	s.schedule(latency, func() {
		checkResult := balance.HealthCheckResult{Endpoint: endpoint.entry.ID, Result: result, Duration: latency}
		if result == balance.OK {
			checkResult.LoadReport = s.drawLoadReport(endpoint)
		}
		s.handle(checkResult)
	})
}

// completePoll completes a poll of the endpoint list, with a failure or a snapshot.
func (s *simulation) completePoll() {
	if s.chance(0.4) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateFailed})
		return
	}
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateSnapshot, Endpoints: s.shuffledEntries()})
}

// shuffledEntries returns the current endpoint list in random order.
func (s *simulation) shuffledEntries() []balance.Endpoint {
	list := make([]balance.Endpoint, len(s.endpoints))
	for i, endpoint := range s.endpoints {
		list[i] = endpoint.entry
	}
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// sendRequest draws a request and sends it to the balancer.
func (s *simulation) sendRequest() {
	s.lastRequest++
	event := balance.Request{
		ID: s.lastRequest, Class: s.random.IntN(len(s.config.Classes)), Tenant: s.random.IntN(len(s.config.Tenants)+3) - 1,
		WorkHint: float64(s.random.IntN(2)) * s.random.Float64(), ClientRetry: s.chance(0.15), Write: s.chance(0.3),
		Uploading: s.chance(0.05),
	}
	if s.chance(0.7) {
		event.StickyKey = s.stickyKey()
	}
	class := s.config.Classes[event.Class]
	if len(s.removedClasses) > 0 && s.chance(0.1) {
		event.ClassOverride, event.MaxAttempts = s.removedClasses[s.random.IntN(len(s.removedClasses))], 1+s.random.IntN(3)
		event.Class, class = -1, *event.ClassOverride
	}
	event.Remaining = class.Deadline
	if event.ClientRetry || s.chance(0.05) {
		event.Remaining *= s.duration(0.1, 1)
	}
	s.openRequest(event, class)
}

// openRequest sends the balancer a request and schedules the end of its upload.
func (s *simulation) openRequest(event balance.Request, class balance.Class) {
	request := &simulatedRequest{
		id: event.ID, classIndex: event.Class, class: class, deadline: s.now + event.Remaining, uploadedAt: s.now,
	}
	if event.Uploading {
		upload := s.duration(5, 1500)
		request.uploadedAt += upload
		request.deadline += upload
		s.schedule(upload, func() {
			s.handle(balance.UploadComplete{Request: event.ID, Remaining: event.Remaining, BodyDiscarded: s.chance(0.3)})
		})
	}
	s.requests[event.ID] = request
	s.recentRequests = append(s.recentRequests, request)
	if len(s.recentRequests) > maxRecentRequests {
		s.recentRequests = s.recentRequests[1:]
	}
	s.handle(event)
}

// changeWhenDue changes the environment, the settings or the balancer at certain numbers of events.
func (s *simulation) changeWhenDue() {
	if s.eventCount >= s.nextChangeAtEvent {
		s.nextChangeAtEvent = s.eventCount + eventsBetweenChanges
		s.changeEnvironment()
	}
	if s.eventCount >= s.nextReconfigureAtEvent {
		s.nextReconfigureAtEvent += s.eventLimit * 3 / 10
		s.reconfigure()
	}
	if s.eventCount >= s.nextHandoverAtEvent {
		s.nextHandoverAtEvent = s.eventLimit * 2
		if s.number%4 != 1 {
			s.handOver()
		}
	}
}

// changeEnvironment makes one random change of the endpoints, the clients or the load.
func (s *simulation) changeEnvironment() {
	s.digest.writeInt(s.balancer.UnavailableCount(s.now))
	switch s.random.IntN(16) {
	case 0:
		s.slowdown = []float64{1, 1, 1, 2, 6}[s.random.IntN(5)]
	case 1:
		s.intervalFactor = []float64{1, 1, 0.2, 0.5, 5}[s.random.IntN(5)]
	case 2:
		s.now += s.duration(200, 40000)
	case 3:
		s.startZoneOutage(s.random.IntN(s.zones))
	case 4, 5:
		s.drawBehaviour(s.randomEndpoint())
	case 6, 7, 8, 9:
		s.randomEndpoint().behaviour = behaviourHealthy
	case 10, 11, 12:
		s.changeEndpoint()
	case 13:
		s.completePoll()
	case 14:
		s.disconnectClients()
	case 15:
		s.sendInvalidEvents()
	}
}

func (s *simulation) randomEndpoint() *simulatedEndpoint {
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// startZoneOutage makes a zone unresponsive for a while. In some cases, discovery lists its endpoints as draining
// for a part of that time.
func (s *simulation) startZoneOutage(zone int) {
	length := s.duration(200, 6000)
	s.unresponsiveUntil[zone] = s.now + length
	if s.zones > 1 && s.chance(0.3) {
		s.schedule(length/3, func() { s.setZoneState(zone, balance.Draining) })
		s.schedule(length, func() { s.setZoneState(zone, balance.Ready) })
	}
}

// setZoneState changes the state of all endpoints of a zone and sends the balancer the update.
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

// changeEndpoint adds, restarts, drains or removes an endpoint, and sends the balancer the update in most cases.
func (s *simulation) changeEndpoint() {
	endpoint := s.randomEndpoint()
	switch s.random.IntN(5) {
	case 0:
		endpoint = s.addEndpoint(s.now - s.duration(0, 500))
	case 1, 2:
		endpoint.entry.StartedAt = s.now - s.duration(0, 500)
		endpoint.behaviour = behaviourHealthy
	case 3:
		endpoint.entry.State = balance.Draining
	case 4:
		s.removeOrReactivate(endpoint)
	}
	if s.chance(0.8) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateDelta, Endpoints: []balance.Endpoint{endpoint.entry}})
	}
}

// removeOrReactivate removes an endpoint, or makes a draining endpoint ready again. Two endpoints always remain.
func (s *simulation) removeOrReactivate(endpoint *simulatedEndpoint) {
	if endpoint.entry.State == balance.Draining && s.chance(0.5) {
		endpoint.entry.State = balance.Ready
		return
	}
	if len(s.endpoints) <= 2 {
		return
	}
	endpoint.entry.State, endpoint.behaviour = balance.Gone, behaviourUnreachable
	index := slices.Index(s.endpoints, endpoint)
	s.endpoints = slices.Delete(s.endpoints, index, index+1)
}

// disconnectClients disconnects the clients of some recent requests.
func (s *simulation) disconnectClients() {
	for range 5 {
		if len(s.recentRequests) == 0 {
			return
		}
		request := s.recentRequests[s.random.IntN(len(s.recentRequests))]
		request.finished = true
		s.handle(balance.ClientGone{Request: request.id})
	}
}

// sendInvalidEvents sends invalid events, and events that arrive too late to have an effect.
func (s *simulation) sendInvalidEvents() {
	unknown := s.lastRequest + 1000000
	s.handleInvalid(balance.Request{ID: unknown, Class: len(s.config.Classes) + s.random.IntN(3), Remaining: 100})
	s.handleInvalid(balance.Request{ID: unknown, Class: -1, Remaining: 100})
	s.handleInvalid(balance.Outcome{Request: unknown, Result: balance.ServerError})
	s.handleInvalid(balance.Outcome{Request: s.lastRequest, Attempt: 50, Result: balance.OK})
	s.handle(balance.ClientGone{Request: unknown})
	s.handle(balance.UploadComplete{Request: unknown, Remaining: 100})
	s.handle(balance.ResponseStarted{Request: unknown})
	s.handle(balance.StreamStarted{Request: unknown})
	s.handle(balance.TimerFired{Token: uint64(unknown)})
	s.handle(balance.HealthCheckResult{Endpoint: 1 << 40, Result: balance.OK, LoadReport: []float32{1}})
	s.handle(balance.ClientGone{Request: unknown}) // replaces a removed kind of event, which had no effect either
}

// reconfigure draws new settings. They keep some of the former classes and tenants, in another order.
func (s *simulation) reconfigure() {
	former := s.config
	s.config = s.drawConfig()
	s.config.LoadReports, s.config.LoadReportFields = former.LoadReports, former.LoadReportFields
	s.config.Zone = former.Zone
	classes, tenants := s.drawOldIndexes(len(former.Classes)), s.drawOldIndexes(len(former.Tenants))
	s.config.Classes, s.config.Tenants = nil, nil
	for _, oldIndex := range classes {
		s.config.Classes = append(s.config.Classes, s.keepOrDrawClass(former.Classes, oldIndex))
	}
	for _, oldIndex := range tenants {
		s.config.Tenants = append(s.config.Tenants, s.drawTenant())
		if oldIndex >= 0 && s.chance(0.5) {
			s.config.Tenants[len(s.config.Tenants)-1] = former.Tenants[oldIndex]
		}
	}
	for oldIndex := range former.Classes {
		if !slices.Contains(classes, oldIndex) {
			s.removedClasses = append(s.removedClasses, &former.Classes[oldIndex])
		}
	}
	s.balancer.Reconfigure(s.config, classes, tenants)
}

// keepOrDrawClass returns the former class with index oldIndex, in some cases with another priority weight, or a
// new class if oldIndex is -1.
func (s *simulation) keepOrDrawClass(former []balance.Class, oldIndex int) balance.Class {
	if oldIndex < 0 {
		return s.drawClass()
	}
	class := former[oldIndex]
	if s.chance(0.5) {
		class.PriorityWeight = s.uniform(0.1, 10)
	}
	return class
}

// drawOldIndexes draws the former indexes of the new classes or tenants; -1 stands for an added one.
func (s *simulation) drawOldIndexes(count int) []int {
	oldIndexes := []int{-1}
	for _, oldIndex := range s.random.Perm(count) {
		if s.chance(0.75) {
			oldIndexes = append(oldIndexes, oldIndex)
		}
	}
	s.random.Shuffle(len(oldIndexes), func(i, j int) { oldIndexes[i], oldIndexes[j] = oldIndexes[j], oldIndexes[i] })
	return oldIndexes
}

// handOver replaces the balancer by a new one, which imports its state. It drops the open requests. In some
// configurations, parts of the state are corrupt.
func (s *simulation) handOver() {
	state := s.balancer.ExportState(s.now)
	s.digest.writeState(&state)
	if s.number%8 == 2 {
		state.MinLatencyRatio, state.MeanCapacityStep, state.SteadyShedFraction = math.NaN(), 5, -1
		state.StartedAt, state.LongTermResponseCount = s.now+1000, math.Inf(1)
	}
	s.pending, s.recentRequests = nil, nil
	for _, endpoint := range s.endpoints {
		endpoint.inFlight = 0
	}
	s.config.Seed = s.random.Uint64()
	s.start()
	s.balancer.ImportState(s.now, state, identityIndexes(len(s.config.Classes)), identityIndexes(len(s.config.Tenants)))
	s.digest.writeInt(s.balancer.UnavailableCount(s.now))
}

// identityIndexes returns the old indexes of unchanged classes or tenants.
func identityIndexes(count int) []int {
	oldIndexes := make([]int, count)
	for i := range oldIndexes {
		oldIndexes[i] = i
	}
	return oldIndexes
}
