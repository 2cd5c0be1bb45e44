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

// LearnedState is what a balancer has learned, in a form that another process can import. Its fields, and
// those of LearnedClass and LearnedEndpoint, are encoded by name (gob) between processes of different
// versions: they must not be renamed. Points in time are Unix milliseconds.
type LearnedState struct {
	Started    Milliseconds // when the balancer started
	AnsweredAt Milliseconds // when the last answer arrived
	AnswersAt  Milliseconds // when Answers and Latest were updated
	Admitted   Milliseconds // when the last request arrived

	Quickest  float64 // least mean of latency / objective
	Slowness  float64 // recent mean of latency / objective
	SlowN     float64 // samples of Slowness
	LateShare float64 // recent fraction of late answers

	Answers     float64      // answers, decaying
	Latest      float64      // answers, decaying within the longest latency objective
	Unconnected float64      // recent fraction of attempts that could not connect
	PerHeld     Milliseconds // mean latency divided by requests in flight
	HeldN       float64      // samples of PerHeld
	Busy        float64      // recent fraction of checked endpoints that had requests in flight

	Learned float64 // updates of learned capacities
	Drift   float64 // mean step of these updates
	Steady  float64 // fraction of the load that is shed steadily

	Kinds   map[int]float64 // logarithm of the capacity factor by machine type
	Zones   map[int]float64 // logarithm of the capacity factor by zone
	Classes []LearnedClass
	Tenants []float64 // requests of each tenant
	Servers []LearnedEndpoint
}

// LearnedClass is what is known of a class.
type LearnedClass struct {
	Asked    float64      // requests
	N        float64      // samples of Mean
	Mean     Milliseconds // mean latency
	Dev      Milliseconds // mean absolute deviation of the latency
	Longest  Milliseconds // longest time that a client was willing to wait
	FailedAt Milliseconds // when an endpoint last failed a request
	Expected float64      // mean of the endpoints' scores
}

// LearnedEndpoint is what is known of an endpoint.
type LearnedEndpoint struct {
	ID        EndpointID
	Size      float64      // logarithm of the capacity factor
	LastErr   Milliseconds // when the last error occurred
	RestUntil Milliseconds // end of the ejection
	Errs      int          // consecutive errors
	Rests     int          // consecutive ejections
	Downs     int          // consecutive attempts that could not connect
	ColdSince Milliseconds // start of the warm-up
	Tokens    float64      // attempts that the slow start allows
	TokensAt  Milliseconds // when Tokens was updated
	HeardAt   Milliseconds // when the last answer arrived
	SlowUntil Milliseconds // until when it counts as slow
	Scores    []float64    // score by class
	ScoredAt  []Milliseconds
}

// ShiftTimes adds to all points in time, for a process whose clock differs from that of the one that exported
// the state.
func (s *LearnedState) ShiftTimes(by Milliseconds) {
	for _, moment := range []*Milliseconds{&s.Started, &s.AnsweredAt, &s.AnswersAt, &s.Admitted} {
		*moment += by
	}
	for i := range s.Classes {
		s.Classes[i].FailedAt += by
	}
	for i := range s.Servers {
		s.Servers[i].shiftTimes(by)
	}
}

func (ep *LearnedEndpoint) shiftTimes(by Milliseconds) {
	moments := []*Milliseconds{
		&ep.LastErr, &ep.RestUntil, &ep.ColdSince, &ep.TokensAt, &ep.HeardAt, &ep.SlowUntil,
	}
	for _, moment := range moments {
		*moment += by
	}
	for i := range ep.ScoredAt {
		ep.ScoredAt[i] += by
	}
}

// ExportState returns what was learned for a process that takes over. It leaves half of the tokens for
// endpoints that warm up to this process: until it ends, both processes act as one sidecar.
func (b *Balancer) ExportState(now Milliseconds) LearnedState {
	b.now = now
	b.answerRate(0, 1)
	state := LearnedState{
		Started:     b.startedAt,
		AnsweredAt:  b.lastAnswerAt,
		AnswersAt:   b.answersCountedAt,
		Admitted:    b.lastAdmissionAt,
		Quickest:    b.minLatencyRatio,
		Slowness:    b.latencyRatio,
		SlowN:       b.latencyRatioSamples,
		LateShare:   b.lateFraction,
		Answers:     b.answerCount,
		Latest:      b.latestAnswerCount,
		Unconnected: b.connectFailureFraction,
		PerHeld:     b.timePerInFlight,
		HeldN:       b.timePerInFlightSamples,
		Busy:        b.busyFraction,
		Learned:     b.learnCount,
		Drift:       b.learnDrift,
		Steady:      b.steadyShed,
		Kinds:       map[int]float64{},
		Zones:       map[int]float64{},
	}
	b.answerCount /= 2
	b.latestAnswerCount /= 2
	b.exportCollections(&state)
	return state
}

// exportCollections adds what was learned of machine types, zones, classes, tenants and endpoints.
func (b *Balancer) exportCollections(state *LearnedState) {
	for number, factor := range b.machineTypes {
		state.Kinds[number] = factor.logarithm
	}
	for number, zone := range b.zones {
		state.Zones[number] = zone.logarithm
	}
	for _, class := range b.classes {
		state.Classes = append(state.Classes, class.export())
	}
	for _, tenant := range b.tenants[:len(b.cfg.Tenants)] {
		state.Tenants = append(state.Tenants, tenant.count)
	}
	for _, ep := range b.endpoints {
		ep.slowStartTokens /= 2
		state.Servers = append(state.Servers, ep.export(len(b.classes)))
	}
}

func (c *classStats) export() LearnedClass {
	return LearnedClass{
		Asked:    c.count,
		N:        c.samples,
		Mean:     c.meanLatency,
		Dev:      c.latencyDeviation,
		Longest:  c.longestTimeout,
		FailedAt: c.lastFailureAt,
		Expected: c.meanScore,
	}
}

func (ep *endpoint) export(classCount int) LearnedEndpoint {
	state := LearnedEndpoint{
		ID:        ep.ID,
		Size:      ep.learned.logarithm,
		LastErr:   ep.lastErrorAt,
		RestUntil: ep.ejectedUntil,
		Errs:      ep.consecutiveErrors,
		Rests:     ep.ejections,
		Downs:     ep.connectErrors,
		ColdSince: ep.warmUpSince,
		Tokens:    ep.slowStartTokens,
		TokensAt:  ep.tokensUpdatedAt,
		HeardAt:   ep.lastResponseAt,
		SlowUntil: ep.slowUntil,
	}
	for _, score := range ep.classScores[:classCount] {
		state.Scores = append(state.Scores, score.value)
		state.ScoredAt = append(state.ScoredAt, score.updatedAt)
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
	for number, logarithm := range state.Kinds {
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
		if old, ok := oldIndex(tenants, i, len(state.Tenants)); ok {
			tenant.count = max(1, validOr(state.Tenants[old], 1, maxImportedCount))
		}
	}
	for i := range state.Servers {
		if ep := b.endpointsByID[state.Servers[i].ID]; ep != nil {
			ep.restore(&state.Servers[i], classes, now)
		}
	}
}

func (b *Balancer) importTimes(state *LearnedState) {
	b.startedAt = min(pastTime(state.Started, b.now), b.now)
	b.lastAnswerAt = pastTime(state.AnsweredAt, b.now)
	b.answersCountedAt = pastTime(state.AnswersAt, b.now)
	b.lastAdmissionAt = pastTime(state.Admitted, b.now)
}

func (b *Balancer) importStatistics(state *LearnedState) {
	b.minLatencyRatio = validOr(state.Quickest, b.minLatencyRatio, maxImportedRatio)
	b.latencyRatio = validOr(state.Slowness, b.latencyRatio, maxImportedRatio)
	b.latencyRatioSamples = validOr(state.SlowN, 0, averagingSamples)
	b.lateFraction = validOr(state.LateShare, 0, 1)
	b.answerCount = validOr(state.Answers, 0, maxImportedRecent)
	b.latestAnswerCount = validOr(state.Latest, 0, maxImportedRecent)
	b.connectFailureFraction = validOr(state.Unconnected, 0, 1)
	b.timePerInFlight = validOr(state.PerHeld, b.timePerInFlight, maxImportedTime)
	b.timePerInFlightSamples = max(1, validOr(state.HeldN, 1, averagingSamples))
	b.busyFraction = validOr(state.Busy, b.busyFraction, 1)
	b.learnCount = validOr(state.Learned, 0, maxImportedCount)
	b.steadyShed = validOr(state.Steady, 0, maxShedFraction)
	if math.Abs(state.Drift) <= maxImportedDrift {
		b.learnDrift = state.Drift
	}
}

func (c *classStats) restore(state *LearnedClass, now Milliseconds) {
	c.count = max(1, validOr(state.Asked, 1, maxImportedCount))
	c.samples = validOr(state.N, 0, maxLatencySamples)
	c.meanLatency = validOr(state.Mean, 0, maxImportedTime)
	c.latencyDeviation = validOr(state.Dev, 0, maxImportedTime)
	c.longestTimeout = validOr(state.Longest, 0, maxImportedTime)
	c.lastFailureAt = pastTime(state.FailedAt, now)
	c.meanScore = validOr(state.Expected, 1, 1)
}

func (ep *endpoint) restore(state *LearnedEndpoint, classes []int, now Milliseconds) {
	ep.learned.restore(state.Size)
	ep.consecutiveErrors = max(0, state.Errs)
	ep.ejections = max(0, state.Rests)
	ep.connectErrors = max(0, state.Downs)
	ep.lastErrorAt = pastTime(state.LastErr, now)
	ep.lastResponseAt = max(0, pastTime(state.HeardAt, now))
	ep.ejectedUntil = validOr(state.RestUntil, 0, now+maxImportedDelay)
	ep.slowUntil = validOr(state.SlowUntil, 0, now+maxImportedDelay)
	// Otherwise the endpoint list has a later start.
	if since := pastTime(state.ColdSince, now); since >= ep.warmUpSince {
		ep.warmUpSince = since
		ep.slowStartTokens = validOr(state.Tokens, 0, maxImportedRecent)
		ep.tokensUpdatedAt = max(0, pastTime(state.TokensAt, now))
	}
	scoreCount := min(len(state.Scores), len(state.ScoredAt))
	for i := range ep.classScores[:len(ep.classScores)-1] {
		if old, ok := oldIndex(classes, i, scoreCount); ok {
			ep.classScores[i].value = validOr(state.Scores[old], 0, 1)
			ep.classScores[i].updatedAt = pastTime(state.ScoredAt[old], now)
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
