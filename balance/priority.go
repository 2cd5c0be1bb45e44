package balance

const (
	// maxQuotaRatio limits the ratio of quota to requests, and so the priority of a tenant below its quota.
	maxQuotaRatio = 2
	// equalValueFactor is the factor within which values count as equal, so that a tiny difference does not
	// put all of the shedding on one tenant.
	equalValueFactor = 1.25
	// minMeanLatency is used as the mean latency of a class without responses, because it is a divisor.
	minMeanLatency Milliseconds = 1e-3
	// minEqualValueWork is added to the work whose value is equal to that of the request, to keep it above 0:
	// it is a divisor. Its unit is that of work in shedProbability.
	minEqualValueWork = 1e-3
)

// shedProbability returns the probability with which to reject a request, so that shedFraction of the total
// load is shed. Classes and tenants with the lowest value per work are shed first. The work of a class and
// tenant is estimated as if all tenants had the same mix of classes. The result may be outside of [0, 1].
func (b *Balancer) shedProbability(req *request, shedFraction float64) float64 {
	totalRequests := b.totalRequests()
	ownValue := b.valuePerWork(req.stats, req.tenant, totalRequests)
	totalWork, lowerValueWork, equalValueWork := 0.0, 0.0, minEqualValueWork
	for _, class := range b.classes {
		for _, tenant := range b.tenants {
			work := class.count * float64(class.meanLatency) * tenant.count
			totalWork += work
			value := b.valuePerWork(class, tenant, totalRequests)
			if value*equalValueFactor < ownValue {
				lowerValueWork += work
			} else if value < ownValue*equalValueFactor {
				equalValueWork += work
			}
		}
	}
	return (shedFraction*totalWork - lowerValueWork) / equalValueWork
}

// valuePerWork returns the priority of a tenant's request of a class per millisecond of latency, its work.
func (b *Balancer) valuePerWork(class *classStats, tenant *requestCounter, totalRequests float64) float64 {
	quotaFactor := b.quotaFactor(tenant, totalRequests)
	return class.priorityWeight * quotaFactor / float64(max(class.meanLatency, minMeanLatency))
}

// quotaFactor returns the factor of a tenant's priority: the mean of 1 for its requests within the quota and
// OverQuotaWeight for those beyond it. The factor of a tenant below its quota is greater than 1.
func (b *Balancer) quotaFactor(tenant *requestCounter, totalRequests float64) float64 {
	if tenant.quotaShare <= 0 {
		return 1
	}
	quotaRatio := min(tenant.quotaShare*totalRequests/tenant.count, maxQuotaRatio)
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*quotaRatio
}
