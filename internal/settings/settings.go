// Package settings translates the settings document, which the simulator sends and the configuration file holds, to
// the configuration of package balance, and checks it.
//
// It keeps no state and starts no goroutines: Parse may be called from anywhere.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"cindersaddle/balance"
)

// Values of keys that the document leaves out.
const (
	defaultOverQuotaWeight = 1.0
	defaultMaxAttempts     = 1.0
	defaultWarmUpFraction  = 1.0 // of the full load: no warm-up
	defaultPriorityWeight  = 1.0
	minInstances           = 1
)

// Parse checks a settings document and translates it. Its errors begin with "settings: "; an error about one key is a
// *KeyError.
func Parse(seed uint64, text []byte) (balance.Config, error) {
	var parsed document
	if err := json.Unmarshal(text, &parsed); err != nil {
		return balance.Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := parsed.validate(); err != nil {
		return balance.Config{}, err
	}
	return parsed.translate(seed), nil
}

// translate returns the configuration of a checked document.
func (d *document) translate(seed uint64) balance.Config {
	cfg := balance.Config{
		Seed:          seed,
		InstanceIndex: d.InstanceIndex,
		InstanceCount: max(d.InstanceCount, minInstances),
		Zone:          d.Zone,

		MinBatchInterval:    d.Quantum,
		OverQuotaWeight:     valueOr(d.OverQuotaWeight, defaultOverQuotaWeight),
		ClientRetriesMarked: d.Clients.MarkRetries,
		KeyCaching:          d.Family.KeyCaching,

		LoadReports:      loadReportModes[d.Report.Mode],
		LoadReportFields: d.loadReportFields(),
		PolledDiscovery:  d.Discovery == discoverySubscribe,

		Classes: d.classes(),
		Tenants: d.tenants(),
		Costs:   d.Costs.translate(),
	}
	d.Limits.apply(&cfg)
	d.Rules.apply(&cfg)
	return cfg
}

// loadReportFields returns the fields of a load report in their order.
func (d *document) loadReportFields() []balance.LoadField {
	var fields []balance.LoadField
	for _, name := range d.Report.Fields {
		fields = append(fields, loadFields[name])
	}
	return fields
}

// classes returns the classes of requests in their order.
func (d *document) classes() []balance.Class {
	var classes []balance.Class
	for i := range d.Classes {
		classes = append(classes, d.Classes[i].translate())
	}
	return classes
}

// tenants returns the quotas of the tenants in their order.
func (d *document) tenants() []balance.Tenant {
	var tenants []balance.Tenant
	for _, tenant := range d.Tenants {
		tenants = append(tenants, balance.Tenant{QuotaShare: tenant.QuotaShare})
	}
	return tenants
}

// translate returns one class. Without a window its endpoints remember a key for ever.
func (c *classDocument) translate() balance.Class {
	objective := c.LatencyObjective
	if objective == 0 {
		objective = c.Deadline
	}
	return balance.Class{
		Idempotency:      idempotencies[c.Effect],
		DedupScope:       dedupScopes[c.DedupScope],
		DedupWindow:      valueOr(c.DedupWindow, balance.Milliseconds(math.Inf(1))),
		LatencyObjective: objective,
		Deadline:         c.Deadline,
		PriorityWeight:   valueOr(c.PriorityWeight, defaultPriorityWeight),
		LateWeight:       c.LateWeight,
		Streaming:        c.Streaming,
	}
}

// apply sets what a sidecar may do.
func (l *limitsDocument) apply(cfg *balance.Config) {
	cfg.Cancellation = l.Cancellation
	cfg.ConnectTimeout = l.ConnectTimeout
	cfg.ConnIdleTimeout = l.ConnIdleTimeout
	cfg.MaxAttempts = int(valueOr(l.MaxAttempts, defaultMaxAttempts))
	cfg.MaxRetryAfter = l.MaxRetryAfter
	cfg.HealthChecks = l.HealthChecks
	cfg.RetryAfter = l.RetryAfter
}

// apply sets the rules of timing, warm-up and overload.
func (r *rulesDocument) apply(cfg *balance.Config) {
	cfg.MaxPollInterval = r.MaxPollInterval
	cfg.SlowStartInitialFraction = valueOr(r.WarmUpFraction, defaultWarmUpFraction)
	cfg.SlowStartDuration = r.WarmUpDuration
	cfg.DrainGrace = r.DrainGrace
	cfg.SlowStartOverloadWindow = r.OverloadWindow
	cfg.SlowStartOverloadFactor = r.OverloadFactor
}

// translate returns the costs of what a sidecar does.
func (c *costsDocument) translate() balance.Costs {
	return balance.Costs{
		CrossZone:     c.CrossZone,
		NewConnection: c.NewConnection,
		HealthCheck:   c.HealthCheck,
	}
}
