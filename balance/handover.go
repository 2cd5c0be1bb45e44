package balance

import "math"

// Upper bounds of imported values. A value beyond its bound is considered corrupt.
const (
	maxImportedCount                    = 1e12 // requests since the start
	maxImportedRecentCount              = 1e9  // decaying counts and slow-start tokens
	maxImportedDuration    Milliseconds = 1e9
	maxImportedRatio                    = 2    // latency / time limit
	maxImportedMeanStep                 = 2    // absolute value of the mean capacity step
	maxImportedDelay       Milliseconds = 60e3 // from now until EjectedUntil or SlowUntil
)

// ExportState returns the learned state for a successor. Until this process ends, the two processes share the
// traffic and the limits of one sidecar. ExportState therefore halves the slow-start tokens in this balancer
// and in the exported state, and the response counts in this balancer only.
func (b *Balancer) ExportState(now Milliseconds) LearnedState {
	b.now = now
	b.decayResponseCounts()
	state := LearnedState{
		StartedAt:              b.responses.startedAt,
		LastRequestAt:          b.shedder.lastRequestAt,
		LastResponseAt:         b.latency.lastResponseAt,
		ResponsesCountedAt:     b.responses.countedAt,
		LongTermResponseCount:  b.responses.longTermCount,
		ShortTermResponseCount: b.responses.shortTermCount,
		MinLatencyRatio:        b.latency.minRatio,
		MeanLatencyRatio:       b.latency.meanRatio,
		LatencyRatioSamples:    b.latency.ratioSamples,
		LateFraction:           b.shedder.steadyFraction,
		SteadyShedFraction:     b.shedder.steadyFraction,
		ConnectFailureFraction: b.connectFailures.fraction,
		TimePerInFlight:        b.timePerInFlight.mean,
		TimePerInFlightSamples: b.timePerInFlight.samples,
		BusyFraction:           b.checks.busyFraction,
		CapacityUpdates:        b.capacity.updates,
		MeanCapacityStep:       b.capacity.meanStep,
	}
	b.responses.halveCounts()
	b.exportCollections(&state)
	return state
}

// exportCollections adds what was learned about machine types, zones, classes, tenants and endpoints to
// state. It halves the slow-start tokens of the endpoints before it exports them.
func (b *Balancer) exportCollections(state *LearnedState) {
	state.MachineTypeCapacityLogs = map[int]float64{}
	for number, factor := range b.endpoints.machineTypes {
		state.MachineTypeCapacityLogs[number] = factor.logarithm
	}
	state.ZoneCapacityLogs = map[int]float64{}
	for number, zone := range b.endpoints.zones {
		state.ZoneCapacityLogs[number] = zone.capacity.logarithm
	}
	for _, class := range b.classes {
		state.Classes = append(state.Classes, class.export())
	}
	for _, tenant := range b.tenants[:len(b.cfg.Tenants)] {
		state.TenantRequests = append(state.TenantRequests, tenant.count)
	}
	for _, ep := range b.endpoints.list {
		ep.slowStart.halveTokens()
		state.Endpoints = append(state.Endpoints, ep.export(len(b.classes)))
	}
}

func (c *classStats) export() LearnedClass {
	return LearnedClass{
		Requests:         c.count,
		LatencySamples:   c.latencySamples,
		MeanLatency:      c.meanLatency,
		LatencyDeviation: c.latencyDeviation,
		LongestTimeout:   c.longestTimeout,
		LastFailureAt:    c.lastFailureAt,
		MeanScore:        c.meanScore,
	}
}

func (ep *endpoint) export(classCount int) LearnedEndpoint {
	state := LearnedEndpoint{
		ID:                   ep.ID,
		CapacityLog:          ep.ownCapacity.logarithm,
		LastErrorAt:          ep.outlier.lastErrorAt,
		LastResponseAt:       ep.activity.lastResponseAt,
		ConsecutiveErrors:    ep.outlier.consecutiveErrors,
		ConnectErrors:        ep.outlier.connectErrors,
		ConsecutiveEjections: ep.outlier.consecutiveEjections,
		EjectedUntil:         ep.outlier.ejectedUntil,
		SlowUntil:            ep.sticky.slowUntil,
		SlowStartSince:       ep.slowStart.startedAt,
		SlowStartTokens:      ep.slowStart.tokens,
		TokensUpdatedAt:      ep.slowStart.updatedAt,
	}
	for _, score := range ep.classScores[:classCount] {
		learned := LearnedClassScore{Value: score.value, UpdatedAt: score.updatedAt}
		state.ClassScores = append(state.ClassScores, learned)
	}
	return state
}

// ImportState continues with the state that a predecessor has learned. classes and tenants give the index in
// state of each class and tenant of this balancer, or -1 for one that is not in state. ImportState has to be
// called after Start, and after the endpoint list of the predecessor was handled. The state may be corrupt:
// an invalid value is replaced by a default, in most cases the value of a new balancer.
func (b *Balancer) ImportState(now Milliseconds, state LearnedState, classes, tenants []int) {
	b.now = now
	b.importTimes(&state)
	b.importStatistics(&state)
	b.importCapacities(&state)
	for i, class := range b.classes {
		if old, ok := oldIndex(classes, i, len(state.Classes)); ok {
			class.importLearned(&state.Classes[old], now)
		}
	}
	for i, tenant := range b.tenants[:len(b.cfg.Tenants)] {
		if old, ok := oldIndex(tenants, i, len(state.TenantRequests)); ok {
			tenant.count = max(1, validOr(state.TenantRequests[old], 1, maxImportedCount))
		}
	}
	for i := range state.Endpoints {
		if ep := b.endpoints.byID[state.Endpoints[i].ID]; ep != nil {
			ep.importLearned(&state.Endpoints[i], classes, now)
		}
	}
}

func (b *Balancer) importTimes(state *LearnedState) {
	b.responses.startedAt = min(pastTimeOrLongAgo(state.StartedAt, b.now), b.now)
	b.responses.countedAt = pastTimeOrLongAgo(state.ResponsesCountedAt, b.now)
	b.latency.lastResponseAt = pastTimeOrLongAgo(state.LastResponseAt, b.now)
	b.latency.lastSampleAt = b.latency.lastResponseAt
}

func (b *Balancer) importStatistics(state *LearnedState) {
	b.responses.longTermCount = validOr(state.LongTermResponseCount, 0, maxImportedRecentCount)
	b.responses.shortTermCount = validOr(state.ShortTermResponseCount, 0, maxImportedRecentCount)
	b.latency.minRatio = validOr(state.MinLatencyRatio, b.latency.minRatio, maxImportedRatio)
	b.latency.meanRatio = validOr(state.MeanLatencyRatio, b.latency.meanRatio, maxImportedRatio)
	b.latency.ratioSamples = validOr(state.LatencyRatioSamples, 0, averagingSamples)
	b.shedder.importLearned(state, b.now)
	b.connectFailures.fraction = validOr(state.ConnectFailureFraction, 0, 1)
	b.timePerInFlight.mean = validOr(state.TimePerInFlight, b.timePerInFlight.mean, maxImportedDuration)
	b.timePerInFlight.samples = validOr(state.TimePerInFlightSamples, 0, averagingSamples)
	b.checks.busyFraction = validOr(state.BusyFraction, b.checks.busyFraction, 1)
}

func (b *Balancer) importCapacities(state *LearnedState) {
	b.capacity.updates = validOr(state.CapacityUpdates, 0, maxImportedCount)
	if math.Abs(state.MeanCapacityStep) <= maxImportedMeanStep {
		b.capacity.meanStep = state.MeanCapacityStep
	}
	for number, logarithm := range state.MachineTypeCapacityLogs {
		b.endpoints.ensureMachineType(number).importLogarithm(logarithm)
	}
	for number, logarithm := range state.ZoneCapacityLogs {
		b.endpoints.ensureZone(number).capacity.importLogarithm(logarithm)
	}
}

func (c *classStats) importLearned(state *LearnedClass, now Milliseconds) {
	c.count = max(1, validOr(state.Requests, 1, maxImportedCount))
	c.latencySamples = validOr(state.LatencySamples, 0, maxLatencySamples)
	c.meanLatency = validOr(state.MeanLatency, 0, maxImportedDuration)
	c.latencyDeviation = validOr(state.LatencyDeviation, 0, maxImportedDuration)
	c.longestTimeout = validOr(state.LongestTimeout, 0, maxImportedDuration)
	c.lastFailureAt = pastTimeOrLongAgo(state.LastFailureAt, now)
	c.meanScore = validOr(state.MeanScore, initialMeanClassScore, 1)
}

func (ep *endpoint) importLearned(state *LearnedEndpoint, classes []int, now Milliseconds) {
	ep.ownCapacity.importLogarithm(state.CapacityLog)
	ep.outlier.importLearned(state, now)
	ep.slowStart.importLearned(state, now)
	ep.activity.lastResponseAt = max(0, pastTimeOrLongAgo(state.LastResponseAt, now))
	ep.sticky.slowUntil = validOr(state.SlowUntil, 0, now+maxImportedDelay)
	for i := range ep.classScores[:len(ep.classScores)-1] {
		if old, ok := oldIndex(classes, i, len(state.ClassScores)); ok {
			ep.classScores[i].value = validOr(state.ClassScores[old].Value, 0, 1)
			ep.classScores[i].updatedAt = pastTimeOrLongAgo(state.ClassScores[old].UpdatedAt, now)
		}
	}
}

func (s *outlierState) importLearned(state *LearnedEndpoint, now Milliseconds) {
	s.consecutiveErrors = max(0, state.ConsecutiveErrors)
	s.connectErrors = max(0, state.ConnectErrors)
	s.lastErrorAt = pastTimeOrLongAgo(state.LastErrorAt, now)
	s.consecutiveEjections = max(0, state.ConsecutiveEjections)
	s.ejectedUntil = validOr(state.EjectedUntil, 0, now+maxImportedDelay)
}

func (s *loadShedder) importLearned(state *LearnedState, now Milliseconds) {
	s.lastRequestAt = pastTimeOrLongAgo(state.LastRequestAt, now)
	s.steadyFraction = validOr(state.SteadyShedFraction, 0, maxShedFraction)
}

// importLearned imports a slow start, unless the endpoint list shows that the endpoint started later.
func (s *slowStart) importLearned(state *LearnedEndpoint, now Milliseconds) {
	since := pastTimeOrLongAgo(state.SlowStartSince, now)
	if since < s.startedAt {
		return
	}
	s.startedAt = since
	s.tokens = validOr(state.SlowStartTokens, 0, maxImportedRecentCount)
	s.updatedAt = max(0, pastTimeOrLongAgo(state.TokensUpdatedAt, now))
}

// importLogarithm sets the capacity factor, unless the logarithm is out of bounds or NaN.
func (f *capacityFactor) importLogarithm(logarithm float64) {
	if logarithm >= -maxCapacityLog && logarithm <= maxCapacityLog {
		f.set(logarithm)
	}
}

// validOr returns an imported value if it is within [0, limit], and otherwise fallback. NaN is not valid.
func validOr[T ~float64](value, fallback, limit T) T {
	if value >= 0 && value <= limit {
		return value
	}
	return fallback
}

// pastTimeOrLongAgo returns an imported point in time unless it is in the future or NaN, and otherwise
// longAgo.
func pastTimeOrLongAgo(value, now Milliseconds) Milliseconds {
	if value <= now {
		return value
	}
	return longAgo
}
