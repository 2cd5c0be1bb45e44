package balance

import "math"

// maxLatencySamples limits the number of samples of a class's mean latency.
const maxLatencySamples = 300

// classStats holds the statistics of a class.
type classStats struct {
	requestCounter
	index            int // in endpoint.classScores; -1: the class is no longer configured
	samples          float64
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

// averagingGain returns the weight of an answer in a mean that covers capacityLearnTime, but at least a few
// answers.
func (b *Balancer) averagingGain() float64 {
	return clamp(1/(float64(capacityLearnTime)*b.answerRate(0, 1)), minLearnGain, maxLearnGain)
}

// answerRate counts new answers and returns the answers per millisecond. The rate is a mean over several of
// the longest latency objectives that includes assumed answers. If the last objective alone surely shows
// more, it counts instead, as traffic may grow fast.
func (b *Balancer) answerRate(newAnswers, assumedAnswers float64) float64 {
	shortSpan, longSpan := b.longestObjective, answerRateObjectives*b.longestObjective
	b.latestAnswerCount = b.latestAnswerCount*decay(b.now-b.answersCountedAt, shortSpan) + newAnswers
	b.answerCount = b.answerCount*decay(b.now-b.answersCountedAt, longSpan) + newAnswers
	b.answersCountedAt = b.now
	observedPart := max(-math.Expm1(-ratio(b.now-b.startedAt, longSpan)), 1e-3)
	meanRate := (b.answerCount + assumedAnswers) / float64(longSpan) / observedPart
	return max(meanRate, (b.latestAnswerCount-2*math.Sqrt(b.latestAnswerCount))/float64(shortSpan))
}

// recordAnswerLatency updates the statistics of latencies by an answer.
func (b *Balancer) recordAnswerLatency(attempt *attempt, latency, objective Milliseconds) {
	if attempt.inFlightBefore >= 0 {
		b.timePerInFlightSamples = min(b.timePerInFlightSamples+1, averagingSamples)
		sample := latency / Milliseconds(attempt.inFlightBefore+1)
		b.timePerInFlight += (sample - b.timePerInFlight) / Milliseconds(b.timePerInFlightSamples)
	}
	b.lastAnswerAt = b.now
	b.recordLateness(latency > objective)
	b.latencyRatioSamples = min(b.latencyRatioSamples+1, averagingSamples)
	b.latencyRatio += (min(ratio(latency, objective), maxLatencyRatio) - b.latencyRatio) * b.averagingGain()
	if b.latencyRatioSamples == averagingSamples {
		b.minLatencyRatio = min(b.minLatencyRatio, b.latencyRatio)
	}
}

// recordLateness updates the fraction of attempts that end after their latency objective.
func (b *Balancer) recordLateness(late bool) {
	b.lateFraction -= b.lateFraction * b.averagingGain()
	if late {
		b.lateFraction += b.averagingGain()
	}
}

// UnavailableCount returns the number of listed endpoints that get no new requests at a time, unless no
// others are left.
func (b *Balancer) UnavailableCount(now Milliseconds) int {
	count := 0
	for _, ep := range b.endpoints {
		if ep.State != Ready || now < ep.ejectedUntil || ep.zone.outage || ep.unreachable {
			count++
		}
	}
	return count
}

// recordLoadReport stores the number of requests in flight from a load report.
func (b *Balancer) recordLoadReport(ep *endpoint, report []float32) {
	for i, field := range b.cfg.LoadReportFields {
		if i < len(report) && field == LoadFieldInFlight {
			ep.reportedInFlight = float64(report[i])
			ep.reportedAt = b.now
			ep.sentSinceReport = 0
			b.busyFraction += (min(ep.reportedInFlight, 1) - b.busyFraction) / averagingSamples
		}
	}
}
