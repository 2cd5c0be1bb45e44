package exchange

import (
	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/metrics"
)

// noIndex is the index of a name that is not in the previous table.
const noIndex = -1

// Settings are the part of the configuration that applies to requests. They are immutable, except for what the counters, the
// estimates of response times and the histories of lengths hold: a new configuration creates new Settings, and requests that were
// read before keep the Settings that they were read with. Any goroutine may read them.
type Settings struct {
	ClassIndex map[string]int           // index in ClassNames and Classes, by name
	ClassNames []string                 // in the order of Classes
	Classes    []balance.Class          // in the order of the balancer's classes
	Counters   []*metrics.ClassCounters // in the order of Classes
	// ResponseTimes estimate how long requests take, in the order of Classes.
	ResponseTimes []*ResponseTime
	// ResponseLengths remember how long responses are whose length is not declared, in the order of Classes.
	ResponseLengths []*LengthHistory
	TenantIndex     map[string]int // index in TenantNames, by name
	TenantNames     []string       // in the order of the balancer's tenants
	MaxAttempts     int            // maximum number of attempts per request
}

// NewSettings returns the settings of a configuration. It registers counters for each of its classes in registry, which may
// drop counters of other classes.
func NewSettings(cfg *config.Config, registry *metrics.Metrics) *Settings {
	settings := &Settings{
		ClassIndex:  cfg.ClassIndex,
		ClassNames:  cfg.ClassNames,
		Classes:     cfg.Balance.Classes,
		TenantIndex: cfg.TenantIndex,
		TenantNames: cfg.TenantNames,
		MaxAttempts: cfg.Balance.MaxAttempts,
	}
	for _, name := range settings.ClassNames {
		settings.Counters = append(settings.Counters, registry.Class(name))
		settings.ResponseTimes = append(settings.ResponseTimes, &ResponseTime{})
		settings.ResponseLengths = append(settings.ResponseLengths, &LengthHistory{})
	}
	registry.TrimClasses(settings.Counters)
	return settings
}

// PreviousIndexes returns the index of each name in a previous table, or -1 for a name that the table does not contain.
func PreviousIndexes(names []string, previous map[string]int) []int {
	indexes := make([]int, len(names))
	for i, name := range names {
		indexes[i] = noIndex
		if index, ok := previous[name]; ok {
			indexes[i] = index
		}
	}
	return indexes
}

// Translate converts a request that was read with previous settings to the indexes of s. Its class and its maximum
// number of attempts stay those of the previous settings. Its tenant becomes the tenant of s with the same name, or
// none.
func (s *Settings) Translate(previous *Settings, req *balance.Request) {
	if previous == s {
		return
	}
	req.ClassOverride = &previous.Classes[req.Class]
	req.MaxAttempts = previous.MaxAttempts
	if tenant, ok := s.TenantIndex[previous.tenantName(req.Tenant)]; ok {
		req.Tenant = tenant
	} else {
		req.Tenant = s.noTenantIndex()
	}
}

// noTenantIndex returns the tenant index of requests without a tenant, which follows the index of the last tenant.
func (s *Settings) noTenantIndex() int { return len(s.TenantNames) }

// tenantName returns the name of a tenant, or an empty string for noTenantIndex.
func (s *Settings) tenantName(index int) string {
	if index < s.noTenantIndex() {
		return s.TenantNames[index]
	}
	return ""
}
