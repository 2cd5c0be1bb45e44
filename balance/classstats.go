package balance

const (
	// maxLatencySamples limits the number of samples of a class's mean latency.
	maxLatencySamples = 300
	// classLatencyGain is the gain of a class's mean latency, relative to that of other means over responses.
	classLatencyGain = 0.5
)

// classStats holds the statistics of a class.
type classStats struct {
	requestCounter
	index            int     // in endpoint.classScores; -1: the class is no longer configured
	samples          float64 // of meanLatency, up to maxLatencySamples
	meanLatency      Milliseconds
	latencyDeviation Milliseconds // mean absolute deviation
	longestTimeout   Milliseconds // longest Remaining of a request
	priorityWeight   float64
	lastFailureAt    Milliseconds // when an endpoint last failed a request of the class
	meanScore        float64      // mean of the endpoints' scores for the class
}

// newClassStats returns the statistics of a class without history.
func newClassStats(class *Class, index int) *classStats {
	return &classStats{
		requestCounter: requestCounter{count: 1},
		index:          index,
		priorityWeight: class.PriorityWeight,
		lastFailureAt:  longAgo,
		meanScore:      1,
	}
}

// recordRequest counts a request with the time that its client waits.
func (c *classStats) recordRequest(timeout Milliseconds) {
	c.count++
	c.longestTimeout = max(c.longestTimeout, timeout)
}

// recordLatency adds a latency to the mean and the deviation. gain is the weight of the sample, but the
// first samples have equal weights.
func (c *classStats) recordLatency(latency Milliseconds, gain float64) {
	c.samples = min(c.samples+1, maxLatencySamples)
	gain = max(gain, 1/c.samples)
	c.meanLatency += (latency - c.meanLatency).scaled(gain)
	c.latencyDeviation += ((latency - c.meanLatency).abs() - c.latencyDeviation).scaled(gain)
}

// requestCounter counts the requests of a class or tenant. The count starts at 1, so that it is never 0.
type requestCounter struct {
	count      float64
	quotaShare float64 // of a tenant: quota as a fraction of all requests
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
