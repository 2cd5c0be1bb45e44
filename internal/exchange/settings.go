package exchange

import (
	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/metrics"
)

// noIndex stands for the index of a name that earlier settings did not have.
const noIndex = -1

// Settings are the part of the configuration that a request is read and handled under. They do not change: a new
// configuration has Settings of its own, and requests that were read before it are handled under the earlier ones. Any goroutine may read them.
type Settings struct {
	ClassIndex  map[string]int           // index in ClassNames and Classes by name
	ClassNames  []string                 // in the order of Classes
	Classes     []balance.Class          // as the balancer has them
	Counters    []*metrics.ClassCounters // in the order of Classes
	TenantIndex map[string]int           // index in TenantNames by name
	TenantNames []string                 // in the order of the balancer's tenants
	MaxAttempts int                      // most attempts of one request
}

// NewSettings returns the settings of a configuration, with counters for each of its classes.
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
	}
	registry.TrimClasses(settings.Counters)
	return settings
}

// PreviousIndexes returns, for each of the names, its index in an earlier table, or -1 if it was not there.
func PreviousIndexes(names []string, earlier map[string]int) []int {
	indexes := make([]int, len(names))
	for i, name := range names {
		indexes[i] = noIndex
		if index, ok := earlier[name]; ok {
			indexes[i] = index
		}
	}
	return indexes
}

// Translate converts a request that was read under earlier settings to the indexes of these. The class and the number of
// attempts that it was read under still apply to it; its tenant is the one of the same name, or none.
func (s *Settings) Translate(earlier *Settings, req *balance.Request) {
	if earlier == s {
		return
	}
	req.ClassOverride = &earlier.Classes[req.Class]
	req.MaxAttempts = earlier.MaxAttempts
	if tenant, ok := s.TenantIndex[earlier.tenantName(req.Tenant)]; ok {
		req.Tenant = tenant
	} else {
		req.Tenant = s.noTenant()
	}
}

// noTenant returns the index of requests without a tenant, which the balancer counts after the last tenant.
func (s *Settings) noTenant() int { return len(s.TenantNames) }

// tenantName returns the name of a tenant, or an empty text for a request without a tenant.
func (s *Settings) tenantName(index int) string {
	if index < s.noTenant() {
		return s.TenantNames[index]
	}
	return ""
}
