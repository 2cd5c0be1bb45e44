package balance

const (
	// maxLatencySamples limits the sample count of a class's mean latency, and so bounds the weight of a new
	// sample from below.
	maxLatencySamples = 300
	// classLatencyGain is the weight of a sample in a class's mean latency, relative to its weight in the
	// other means over responses (averagingGain).
	classLatencyGain = 0.5
)

// minTimeLimit is the lower bound of a class's time limit, because that is used as a divisor.
const minTimeLimit Milliseconds = 1

// unconfiguredClass is the index of a class that is no longer configured.
const unconfiguredClass = -1

// classStats holds the statistics of a class.
type classStats struct {
	requestCounter
	index            int     // index in endpoint.classScores, or unconfiguredClass
	latencySamples   float64 // samples of meanLatency, up to maxLatencySamples
	meanLatency      Milliseconds
	latencyDeviation Milliseconds     // mean absolute deviation
	longestTimeout   Milliseconds     // longest Request.Remaining seen; exported, but not used in decisions
	servedTimeouts   DurationEstimate // of Request.Remaining of requests that got a response
	priorityWeight   float64
	lastFailureAt    Milliseconds // when any endpoint last failed a request of the class
	meanScore        float64      // mean of the endpoints' scores for the class; see updateMeanClassScore
}

// newClassStats returns the statistics of a class without history.
func newClassStats(class *Class, index int) *classStats {
	return &classStats{
		requestCounter: requestCounter{count: 1},
		index:          index,
		priorityWeight: class.PriorityWeight,
		servedTimeouts: DurationEstimate{mean: class.Deadline, samples: averagingSamples},
		lastFailureAt:  longAgo,
		meanScore:      initialMeanClassScore,
	}
}

// recordRequest counts a request whose client waits for the given timeout.
func (c *classStats) recordRequest(timeout Milliseconds) {
	c.count++
	c.longestTimeout = max(c.longestTimeout, timeout)
}

// timeLimit returns how long most clients of the class wait for a response: the mean less the mean deviation,
// but at least half of the mean, so that a few impatient clients do not count for all. Clients that give up
// before they can get a response do not count: they must not determine how long others wait.
func (c *classStats) timeLimit() Milliseconds {
	timeouts := &c.servedTimeouts
	return max(timeouts.mean-timeouts.deviation, timeouts.mean/2, minTimeLimit)
}

// requiredRate returns the share of the load of an attempt that is sent now: the responses per millisecond
// that are required to respond to it within the time limit. It is 0 before there are responses of the class:
// until then, nothing says how long its attempts take without a queue.
func (c *classStats) requiredRate() float64 {
	if c.latencySamples == 0 {
		return 0
	}
	return 1 / float64(c.timeLimit())
}

// usualLatency returns how long an attempt has to wait at least before its timeout says anything about the
// endpoints: the mean latency or, before it is known, half of the time limit.
func (c *classStats) usualLatency() Milliseconds {
	if c.latencySamples == 0 {
		return c.timeLimit() / 2
	}
	return c.meanLatency
}

// recordLatency adds a sample to the mean latency and its deviation. The weight of the sample is gain, but at
// least 1/latencySamples, so that the first samples have equal weights.
func (c *classStats) recordLatency(latency Milliseconds, gain float64) {
	c.latencySamples = min(c.latencySamples+1, maxLatencySamples)
	gain = max(gain, 1/c.latencySamples)
	c.meanLatency += (latency - c.meanLatency).scaled(gain)
	c.latencyDeviation += ((latency - c.meanLatency).abs() - c.latencyDeviation).scaled(gain)
}

// requestCounter counts the requests of a class or tenant. The count starts at 1, so that it can be a
// divisor.
type requestCounter struct {
	count      float64
	quotaShare float64 // quota of a tenant as a fraction of all requests; 0: no quota
}

// totalRequests returns the number of requests of all classes.
func (b *Balancer) totalRequests() float64 {
	total := 0.0
	for _, class := range b.classes {
		total += class.count
	}
	return total
}

// tenantCounter returns the counter of a tenant. The last counter is for requests without a tenant.
func (b *Balancer) tenantCounter(tenant int) *requestCounter {
	if tenant < 0 || tenant >= len(b.cfg.Tenants) {
		tenant = len(b.cfg.Tenants)
	}
	return b.tenants[tenant]
}
