package balance

// Reconfigure replaces the settings except for the seed. Learned state is kept, and open requests keep the
// settings with which they arrived. classes and tenants hold the old index of each new class and tenant, or
// -1 for an added one.
func (b *Balancer) Reconfigure(cfg Config, classes, tenants []int) {
	cfg.Seed = b.cfg.Seed
	oldClassCount := len(b.cfg.Classes)
	b.applyConfig(cfg, classes, tenants)
	for _, ep := range b.endpoints.list {
		oldScores := ep.classScores
		ep.classScores = newClassScores(len(cfg.Classes))
		for i := range ep.classScores {
			if old, ok := oldIndex(classes, i, oldClassCount); ok {
				ep.classScores[i] = oldScores[old]
			}
		}
	}
}

// applyConfig applies settings. Classes and tenants that existed before keep their statistics.
func (b *Balancer) applyConfig(cfg Config, classes, tenants []int) {
	b.cfg = cfg
	b.applyClasses(classes)
	b.applyTenants(tenants)
}

// applyClasses sets up the statistics of the configured classes.
func (b *Balancer) applyClasses(oldIndexes []int) {
	oldStats := b.classes
	for _, stats := range oldStats { // open requests may still refer to a class that is removed
		stats.index = unconfiguredClass
	}
	b.classes = make([]*classStats, len(b.cfg.Classes))
	for i := range b.cfg.Classes {
		class := &b.cfg.Classes[i]
		if old, ok := oldIndex(oldIndexes, i, len(oldStats)); ok {
			b.classes[i] = oldStats[old]
			b.classes[i].index = i
			b.classes[i].priorityWeight = class.PriorityWeight
		} else {
			b.classes[i] = newClassStats(class, i)
		}
	}
}

// applyTenants sets up the counters of the configured tenants.
func (b *Balancer) applyTenants(oldIndexes []int) {
	oldCounters := b.tenants
	b.tenants = make([]*requestCounter, len(b.cfg.Tenants)+1)
	for i := range b.tenants {
		b.tenants[i] = &requestCounter{count: 1}
		if old, ok := oldIndex(oldIndexes, i, len(oldCounters)); ok {
			b.tenants[i] = oldCounters[old]
		}
		if i < len(b.cfg.Tenants) {
			b.tenants[i].quotaShare = b.cfg.Tenants[i].QuotaShare
		}
	}
}

// oldIndex looks up the old index of entry i. ok is false if the entry is new, or if the index is not one of
// count old entries.
func oldIndex(oldIndexes []int, i, count int) (old int, ok bool) {
	if i >= len(oldIndexes) {
		return -1, false
	}
	old = oldIndexes[i]
	return old, old >= 0 && old < count
}
