package balance

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
