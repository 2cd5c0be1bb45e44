package balance

// LearnedState is what a balancer has learned, in a form that a successor process can import. Points in time
// are on the exporting balancer's clock; see ShiftTimes. Package upgrade encodes it. Counts are not integers,
// because some of them decay.
type LearnedState struct {
	StartedAt          Milliseconds // when the balancer started
	LastRequestAt      Milliseconds // when the last request arrived
	LastResponseAt     Milliseconds // when the last response arrived
	ResponsesCountedAt Milliseconds // time to which the two response counts have decayed

	LongTermResponseCount  float64 // responses; time constant: longTermTimeConstant
	ShortTermResponseCount float64 // responses; time constant: shortTermTimeConstant
	MinLatencyRatio        float64 // lowest value of MeanLatencyRatio: without queueing
	MeanLatencyRatio       float64 // recent mean of latency / time limit of the attempt
	LatencyRatioSamples    float64 // samples of MeanLatencyRatio
	LateFraction           float64 // not imported; earlier versions limit the shed fraction by it
	SteadyShedFraction     float64 // steady fraction of the load that is shed

	ConnectFailureFraction float64      // recent fraction of attempts that could not connect
	TimePerInFlight        Milliseconds // mean of latency / requests in flight at the endpoint
	TimePerInFlightSamples float64      // samples of TimePerInFlight
	BusyFraction           float64      // recent fraction of checked endpoints that had requests in flight

	CapacityUpdates         float64         // number of updates of learned capacities
	MeanCapacityStep        float64         // mean step of the logarithm in these updates
	MachineTypeCapacityLogs map[int]float64 // logarithm of the capacity factor by machine type
	ZoneCapacityLogs        map[int]float64 // logarithm of the capacity factor by zone

	Classes        []LearnedClass
	TenantRequests []float64 // number of requests by tenant
	Endpoints      []LearnedEndpoint
}

// LearnedClass is what a balancer has learned about a class.
type LearnedClass struct {
	Requests         float64 // number of requests
	LatencySamples   float64 // samples of MeanLatency
	MeanLatency      Milliseconds
	LatencyDeviation Milliseconds // mean absolute deviation of the latency
	LongestTimeout   Milliseconds // longest time that a client waits for a request
	LastFailureAt    Milliseconds // when any endpoint last failed a request of the class
	MeanScore        float64      // mean of the endpoints' scores for the class
}

// LearnedEndpoint is what a balancer has learned about an endpoint.
type LearnedEndpoint struct {
	ID                   EndpointID
	CapacityLog          float64 // logarithm of the capacity factor
	LastErrorAt          Milliseconds
	LastResponseAt       Milliseconds
	ConsecutiveErrors    int
	ConnectErrors        int          // failed connections among the consecutive errors
	ConsecutiveEjections int          // consecutive ejections
	EjectedUntil         Milliseconds // end of the last ejection; 0: not ejected
	SlowUntil            Milliseconds // until then avoided for sticky keys, because it was slow
	SlowStartSince       Milliseconds // start of the last slow start
	SlowStartTokens      float64      // attempts that the slow start currently allows
	TokensUpdatedAt      Milliseconds
	ClassScores          []LearnedClassScore // by class
}

// LearnedClassScore is the recent success rate of a class at an endpoint.
type LearnedClassScore struct {
	Value     float64 // from 0 (the endpoint fails all requests of the class) to 1
	UpdatedAt Milliseconds
}

// ShiftTimes adds offset to all points in time. It is needed when the clock of the process that imports the
// state differs from the clock of the process that exported it.
func (s *LearnedState) ShiftTimes(offset Milliseconds) {
	times := []*Milliseconds{&s.StartedAt, &s.LastRequestAt, &s.LastResponseAt, &s.ResponsesCountedAt}
	for _, t := range times {
		*t += offset
	}
	for i := range s.Classes {
		s.Classes[i].LastFailureAt += offset
	}
	for i := range s.Endpoints {
		s.Endpoints[i].shiftTimes(offset)
	}
}

func (ep *LearnedEndpoint) shiftTimes(offset Milliseconds) {
	times := []*Milliseconds{
		&ep.LastErrorAt, &ep.LastResponseAt,
		&ep.EjectedUntil, &ep.SlowUntil,
		&ep.SlowStartSince, &ep.TokensUpdatedAt,
	}
	for _, t := range times {
		*t += offset
	}
	for i := range ep.ClassScores {
		ep.ClassScores[i].UpdatedAt += offset
	}
}
