package balance

import "math"

// Limits of imported values. Whatever exceeds them is corrupt.
const (
	maxImportedCount               = 1e12
	maxImportedRecent              = 1e9
	maxImportedTime   Milliseconds = 1e9
	maxImportedRatio               = 2
	maxImportedDrift               = 2
	maxImportedDelay  Milliseconds = 60e3 // from now until the end of an ejection
)

// LearnedState is what a balancer has learned, in a form that another process can import. Points in time are
// Unix milliseconds. Package upgrade encodes it.
type LearnedState struct {
	StartedAt          Milliseconds // when the balancer started
	LastRequestAt      Milliseconds // when the last request arrived
	LastResponseAt     Milliseconds // when the last response arrived
	ResponsesCountedAt Milliseconds // when the two counts of responses were updated

	ResponseCount       float64 // responses, decaying over several of the longest latency objectives
	LatestResponseCount float64 // responses, decaying over the longest latency objective
	MinLatencyRatio     float64 // least mean of latency / objective
	LatencyRatio        float64 // recent mean of latency / objective
	LatencyRatioSamples float64
	LateFraction        float64 // recent fraction of responses after their latency objective
	SteadyShed          float64 // fraction of the load that is shed steadily

	ConnectFailureFraction float64      // recent fraction of attempts that could not connect
	TimePerInFlight        Milliseconds // mean latency divided by the requests in flight at the endpoint
	TimePerInFlightSamples float64
	BusyFraction           float64 // recent fraction of checked endpoints that had requests in flight

	CapacityUpdates float64         // updates of learned capacities
	CapacityDrift   float64         // mean step of these updates
	MachineTypes    map[int]float64 // logarithm of the capacity factor by machine type
	Zones           map[int]float64 // logarithm of the capacity factor by zone

	Classes        []LearnedClass
	TenantRequests []float64 // requests by tenant
	Endpoints      []LearnedEndpoint
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Requests         float64
	LatencySamples   float64
	MeanLatency      Milliseconds
	LatencyDeviation Milliseconds // mean absolute deviation
	LongestTimeout   Milliseconds // longest time that a client was willing to wait
	LastFailureAt    Milliseconds // when an endpoint last failed a request of the class
	MeanScore        float64      // mean of the endpoints' scores
}

// LearnedEndpoint is what is known of an endpoint.
type LearnedEndpoint struct {
	ID                EndpointID
	CapacityLog       float64 // logarithm of the capacity factor
	LastErrorAt       Milliseconds
	LastResponseAt    Milliseconds
	ConsecutiveErrors int
	ConnectErrors     int // consecutive attempts that could not connect
	Ejections         int // consecutive ejections
	EjectedUntil      Milliseconds
	SlowUntil         Milliseconds // until when it is avoided for sticky keys, because it was slow
	WarmUpSince       Milliseconds
	SlowStartTokens   float64 // attempts that the slow start allows
	TokensUpdatedAt   Milliseconds
	ClassScores       []LearnedClassScore // by class
}

// LearnedClassScore is the score of a class at an endpoint.
type LearnedClassScore struct {
	Value     float64 // 0 (fails all requests) to 1
	UpdatedAt Milliseconds
}

// ShiftTimes adds to all points in time, for a process whose clock differs from that of the one that exported
// the state.
func (s *LearnedState) ShiftTimes(by Milliseconds) {
	moments := []*Milliseconds{&s.StartedAt, &s.LastRequestAt, &s.LastResponseAt, &s.ResponsesCountedAt}
	for _, moment := range moments {
		*moment += by
	}
	for i := range s.Classes {
		s.Classes[i].LastFailureAt += by
	}
	for i := range s.Endpoints {
		s.Endpoints[i].shiftTimes(by)
	}
}

func (ep *LearnedEndpoint) shiftTimes(by Milliseconds) {
	moments := []*Milliseconds{
		&ep.LastErrorAt, &ep.LastResponseAt,
		&ep.EjectedUntil, &ep.SlowUntil,
		&ep.WarmUpSince, &ep.TokensUpdatedAt,
	}
	for _, moment := range moments {
		*moment += by
	}
	for i := range ep.ClassScores {
		ep.ClassScores[i].UpdatedAt += by
	}
}

// ExportState returns what was learned for a process that takes over. It leaves half of the tokens for
// endpoints that warm up to this process: until it ends, both processes act as one sidecar.
func (b *Balancer) ExportState(now Milliseconds) LearnedState {
	b.now = now
	b.answerRate(0, 1)
	state := LearnedState{
		StartedAt:              b.startedAt,
		LastResponseAt:         b.lastAnswerAt,
		ResponsesCountedAt:     b.answersCountedAt,
		LastRequestAt:          b.lastAdmissionAt,
		MinLatencyRatio:        b.minLatencyRatio,
		LatencyRatio:           b.latencyRatio,
		LatencyRatioSamples:    b.latencyRatioSamples,
		LateFraction:           b.lateFraction,
		ResponseCount:          b.answerCount,
		LatestResponseCount:    b.latestAnswerCount,
		ConnectFailureFraction: b.connectFailureFraction,
		TimePerInFlight:        b.timePerInFlight,
		TimePerInFlightSamples: b.timePerInFlightSamples,
		BusyFraction:           b.busyFraction,
		CapacityUpdates:        b.learnCount,
		CapacityDrift:          b.learnDrift,
		SteadyShed:             b.steadyShed,
		MachineTypes:           map[int]float64{},
		Zones:                  map[int]float64{},
	}
	b.answerCount /= 2
	b.latestAnswerCount /= 2
	b.exportCollections(&state)
	return state
}

// exportCollections adds what was learned of machine types, zones, classes, tenants and endpoints.
func (b *Balancer) exportCollections(state *LearnedState) {
	for number, factor := range b.machineTypes {
		state.MachineTypes[number] = factor.logarithm
	}
	for number, zone := range b.zones {
		state.Zones[number] = zone.logarithm
	}
	for _, class := range b.classes {
		state.Classes = append(state.Classes, class.export())
	}
	for _, tenant := range b.tenants[:len(b.cfg.Tenants)] {
		state.TenantRequests = append(state.TenantRequests, tenant.count)
	}
	for _, ep := range b.endpoints {
		ep.slowStartTokens /= 2
		state.Endpoints = append(state.Endpoints, ep.export(len(b.classes)))
	}
}

func (c *classStats) export() LearnedClass {
	return LearnedClass{
		Requests:         c.count,
		LatencySamples:   c.samples,
		MeanLatency:      c.meanLatency,
		LatencyDeviation: c.latencyDeviation,
		LongestTimeout:   c.longestTimeout,
		LastFailureAt:    c.lastFailureAt,
		MeanScore:        c.meanScore,
	}
}

func (ep *endpoint) export(classCount int) LearnedEndpoint {
	state := LearnedEndpoint{
		ID:                ep.ID,
		CapacityLog:       ep.learned.logarithm,
		LastErrorAt:       ep.lastErrorAt,
		EjectedUntil:      ep.ejectedUntil,
		ConsecutiveErrors: ep.consecutiveErrors,
		Ejections:         ep.ejections,
		ConnectErrors:     ep.connectErrors,
		WarmUpSince:       ep.warmUpSince,
		SlowStartTokens:   ep.slowStartTokens,
		TokensUpdatedAt:   ep.tokensUpdatedAt,
		LastResponseAt:    ep.lastResponseAt,
		SlowUntil:         ep.slowUntil,
	}
	for _, score := range ep.classScores[:classCount] {
		learned := LearnedClassScore{Value: score.value, UpdatedAt: score.updatedAt}
		state.ClassScores = append(state.ClassScores, learned)
	}
	return state
}

// ImportState continues with what another process learned. classes and tenants give the index in state of
// each own class and tenant, or -1 if it has none. ImportState has to be called after Start and the endpoint
// list of the other process. The state may be corrupt: invalid values are ignored.
func (b *Balancer) ImportState(now Milliseconds, state LearnedState, classes, tenants []int) {
	b.now = now
	b.importTimes(&state)
	b.importStatistics(&state)
	for number, logarithm := range state.MachineTypes {
		b.machineTypeFactor(number).restore(logarithm)
	}
	for number, logarithm := range state.Zones {
		b.zoneFor(number).restore(logarithm)
	}
	for i, class := range b.classes {
		if old, ok := oldIndex(classes, i, len(state.Classes)); ok {
			class.restore(&state.Classes[old], now)
		}
	}
	for i, tenant := range b.tenants[:len(b.cfg.Tenants)] {
		if old, ok := oldIndex(tenants, i, len(state.TenantRequests)); ok {
			tenant.count = max(1, validOr(state.TenantRequests[old], 1, maxImportedCount))
		}
	}
	for i := range state.Endpoints {
		if ep := b.endpointsByID[state.Endpoints[i].ID]; ep != nil {
			ep.restore(&state.Endpoints[i], classes, now)
		}
	}
}

func (b *Balancer) importTimes(state *LearnedState) {
	b.startedAt = min(pastTime(state.StartedAt, b.now), b.now)
	b.lastAnswerAt = pastTime(state.LastResponseAt, b.now)
	b.answersCountedAt = pastTime(state.ResponsesCountedAt, b.now)
	b.lastAdmissionAt = pastTime(state.LastRequestAt, b.now)
}

func (b *Balancer) importStatistics(state *LearnedState) {
	b.minLatencyRatio = validOr(state.MinLatencyRatio, b.minLatencyRatio, maxImportedRatio)
	b.latencyRatio = validOr(state.LatencyRatio, b.latencyRatio, maxImportedRatio)
	b.latencyRatioSamples = validOr(state.LatencyRatioSamples, 0, averagingSamples)
	b.lateFraction = validOr(state.LateFraction, 0, 1)
	b.answerCount = validOr(state.ResponseCount, 0, maxImportedRecent)
	b.latestAnswerCount = validOr(state.LatestResponseCount, 0, maxImportedRecent)
	b.connectFailureFraction = validOr(state.ConnectFailureFraction, 0, 1)
	b.timePerInFlight = validOr(state.TimePerInFlight, b.timePerInFlight, maxImportedTime)
	b.timePerInFlightSamples = max(1, validOr(state.TimePerInFlightSamples, 1, averagingSamples))
	b.busyFraction = validOr(state.BusyFraction, b.busyFraction, 1)
	b.learnCount = validOr(state.CapacityUpdates, 0, maxImportedCount)
	b.steadyShed = validOr(state.SteadyShed, 0, maxShedFraction)
	if math.Abs(state.CapacityDrift) <= maxImportedDrift {
		b.learnDrift = state.CapacityDrift
	}
}

func (c *classStats) restore(state *LearnedClass, now Milliseconds) {
	c.count = max(1, validOr(state.Requests, 1, maxImportedCount))
	c.samples = validOr(state.LatencySamples, 0, maxLatencySamples)
	c.meanLatency = validOr(state.MeanLatency, 0, maxImportedTime)
	c.latencyDeviation = validOr(state.LatencyDeviation, 0, maxImportedTime)
	c.longestTimeout = validOr(state.LongestTimeout, 0, maxImportedTime)
	c.lastFailureAt = pastTime(state.LastFailureAt, now)
	c.meanScore = validOr(state.MeanScore, 1, 1)
}

func (ep *endpoint) restore(state *LearnedEndpoint, classes []int, now Milliseconds) {
	ep.learned.restore(state.CapacityLog)
	ep.consecutiveErrors = max(0, state.ConsecutiveErrors)
	ep.ejections = max(0, state.Ejections)
	ep.connectErrors = max(0, state.ConnectErrors)
	ep.lastErrorAt = pastTime(state.LastErrorAt, now)
	ep.lastResponseAt = max(0, pastTime(state.LastResponseAt, now))
	ep.ejectedUntil = validOr(state.EjectedUntil, 0, now+maxImportedDelay)
	ep.slowUntil = validOr(state.SlowUntil, 0, now+maxImportedDelay)
	// Otherwise the endpoint list has a later start.
	if since := pastTime(state.WarmUpSince, now); since >= ep.warmUpSince {
		ep.warmUpSince = since
		ep.slowStartTokens = validOr(state.SlowStartTokens, 0, maxImportedRecent)
		ep.tokensUpdatedAt = max(0, pastTime(state.TokensUpdatedAt, now))
	}
	for i := range ep.classScores[:len(ep.classScores)-1] {
		if old, ok := oldIndex(classes, i, len(state.ClassScores)); ok {
			ep.classScores[i].value = validOr(state.ClassScores[old].Value, 0, 1)
			ep.classScores[i].updatedAt = pastTime(state.ClassScores[old].UpdatedAt, now)
		}
	}
}

// restore sets a learned factor, unless the logarithm is out of bounds or NaN.
func (f *learnedFactor) restore(logarithm float64) {
	if logarithm >= -maxCapacityLog && logarithm <= maxCapacityLog {
		f.logarithm = logarithm
		f.factor = math.Exp(logarithm)
	}
}

// validOr returns an imported value if it is within [0, high], and otherwise a fallback.
func validOr[T ~float64](value, fallback, high T) T {
	if value >= 0 && value <= high {
		return value
	}
	return fallback
}

// pastTime returns an imported time if it is not in the future, and otherwise -Inf.
func pastTime(value, now Milliseconds) Milliseconds {
	if value <= now {
		return value
	}
	return longAgo
}
