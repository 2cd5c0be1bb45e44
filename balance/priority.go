package balance

const (
	// maxQuotaCredit limits how much a tenant below its quota gains.
	maxQuotaCredit = 2
	// equalValueFactor is the factor within which values count as equal, so that a tiny difference does not
	// make one tenant bear all of the shedding.
	equalValueFactor = 1.25
	// minMeanLatency stands for the mean latency of a class without responses.
	minMeanLatency Milliseconds = 1e-3
	// minEqualWork keeps the work of equal value above 0.
	minEqualWork = 1e-3
)

// shedProbability returns the probability of rejecting a request, so that a fraction of the load is shed in
// total. The classes and tenants whose responses earn least for their work are shed first.
func (b *Balancer) shedProbability(req *request, shed float64) float64 {
	totalRequests := b.totalRequests()
	ownValue := b.valuePerWork(req.stats, req.tenant, totalRequests)
	totalWork, lowerWork, equalWork := 0.0, 0.0, minEqualWork // all, and that of lower and of equal value
	for _, class := range b.classes {
		for _, tenant := range b.tenants {
			work := class.count * float64(class.meanLatency) * tenant.count
			totalWork += work
			value := b.valuePerWork(class, tenant, totalRequests)
			if value*equalValueFactor < ownValue {
				lowerWork += work
			} else if value < ownValue*equalValueFactor {
				equalWork += work
			}
		}
	}
	return (shed*totalWork - lowerWork) / equalWork
}

// valuePerWork returns what a tenant's responses of a class earn per millisecond of latency.
func (b *Balancer) valuePerWork(class *classStats, tenant *requestCounter, totalRequests float64) float64 {
	quotaFactor := b.quotaFactor(tenant, totalRequests)
	return class.priorityWeight * quotaFactor / float64(max(class.meanLatency, minMeanLatency))
}

// quotaFactor returns the factor of a tenant's priority that follows from its part of this sidecar's
// requests.
func (b *Balancer) quotaFactor(tenant *requestCounter, totalRequests float64) float64 {
	if tenant.quotaShare <= 0 {
		return 1
	}
	withinQuota := min(tenant.quotaShare*totalRequests/tenant.count, maxQuotaCredit)
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*withinQuota
}
