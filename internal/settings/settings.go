// Package settings parses and validates the settings document, and converts it to the configuration of package balance.
// The document comes from the simulator, or from the configuration file, which contains it.
//
// The package has no mutable state, so Parse may be called from any goroutine.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"cindersaddle/balance"
)

// Default values of missing keys.
const (
	defaultOverQuotaWeight          = 1.0 // fraction of the request's priority
	defaultMaxAttempts              = 1.0 // attempts per request: no retry
	defaultSlowStartInitialFraction = 1.0 // fraction of the endpoint's capacity: no slow start
	defaultPriorityWeight           = 1.0
)

// minInstanceCount is the smallest number of instances: only this one. It replaces a missing or smaller peers_total.
const minInstanceCount = 1

// Parse validates a settings document and converts it to a configuration with the given random seed. Its errors begin
// with "settings: ". An invalid or missing value is reported as a *KeyError.
func Parse(seed uint64, text []byte) (balance.Config, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return balance.Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := parsed.validate(); err != nil {
		return balance.Config{}, err
	}
	return parsed.toConfig(seed), nil
}

// toConfig converts a validated document.
func (d *document) toConfig(seed uint64) balance.Config {
	cfg := balance.Config{
		Seed:          seed,
		InstanceIndex: d.InstanceIndex,
		InstanceCount: max(d.InstanceCount, minInstanceCount),
		Zone:          d.Zone,

		MinBatchInterval:    d.MinBatchInterval,
		OverQuotaWeight:     valueOrDefault(d.OverQuotaWeight, defaultOverQuotaWeight),
		ClientRetriesMarked: d.Clients.RetriesMarked,
		KeyCaching:          d.Application.KeyCaching,

		LoadReports:      loadReportModesByName[d.LoadReports.Mode],
		LoadReportFields: d.loadReportFields(),
		PolledDiscovery:  d.Discovery == discoverySubscribe,

		Classes: d.classes(),
		Tenants: d.tenants(),
		Costs:   d.Costs.toCosts(),
	}
	d.Limits.applyTo(&cfg)
	d.Rules.applyTo(&cfg)
	return cfg
}

// loadReportFields converts the names in report.fields, in order.
func (d *document) loadReportFields() []balance.LoadField {
	var fields []balance.LoadField
	for _, name := range d.LoadReports.Fields {
		fields = append(fields, loadFieldsByName[name])
	}
	return fields
}

// classes converts the classes of requests, in order.
func (d *document) classes() []balance.Class {
	var classes []balance.Class
	for i := range d.Classes {
		classes = append(classes, d.Classes[i].toClass())
	}
	return classes
}

// tenants converts the tenants, in order.
func (d *document) tenants() []balance.Tenant {
	var tenants []balance.Tenant
	for _, tenant := range d.Tenants {
		tenants = append(tenants, balance.Tenant{QuotaShare: tenant.QuotaShare})
	}
	return tenants
}

// toClass converts a class. If the document has no dedup window, endpoints are assumed to remember an idempotency key
// forever. If it has no latency objective, the objective is the deadline.
func (c *classDocument) toClass() balance.Class {
	objective := c.LatencyObjective
	if objective == 0 {
		objective = c.Deadline
	}
	return balance.Class{
		Idempotency:      idempotenciesByName[c.Idempotency],
		DedupScope:       dedupScopesByName[c.DedupScope],
		DedupWindow:      valueOrDefault(c.DedupWindow, balance.Milliseconds(math.Inf(1))),
		LatencyObjective: objective,
		Deadline:         c.Deadline,
		PriorityWeight:   valueOrDefault(c.PriorityWeight, defaultPriorityWeight),
		LateWeight:       c.LateWeight,
		Streaming:        c.Streaming,
	}
}

// applyTo sets the fields of cfg for the limits of the sidecar and for the operations that it may use.
func (l *limitsDocument) applyTo(cfg *balance.Config) {
	cfg.Cancellation = l.Cancellation
	cfg.ConnectTimeout = l.ConnectTimeout
	cfg.ConnIdleTimeout = l.ConnIdleTimeout
	cfg.MaxAttempts = int(valueOrDefault(l.MaxAttempts, defaultMaxAttempts))
	cfg.MaxRetryAfter = l.MaxRetryAfter
	cfg.HealthChecks = l.HealthChecks
	cfg.RetryAfter = l.RetryAfter
}

// applyTo sets the fields of cfg for the time limits and for slow start.
func (r *rulesDocument) applyTo(cfg *balance.Config) {
	cfg.MaxPollInterval = r.MaxPollInterval
	cfg.SlowStartInitialFraction = valueOrDefault(r.SlowStartInitialFraction, defaultSlowStartInitialFraction)
	cfg.SlowStartDuration = r.SlowStartDuration
	cfg.DrainGrace = r.DrainGrace
	cfg.SlowStartOverloadWindow = r.SlowStartOverloadWindow
	cfg.SlowStartOverloadFactor = r.SlowStartOverloadFactor
}

// toCosts converts the costs that decisions depend on.
func (c *costsDocument) toCosts() balance.Costs {
	return balance.Costs{
		CrossZone:     c.CrossZone,
		NewConnection: c.NewConnection,
		HealthCheck:   c.HealthCheck,
	}
}
