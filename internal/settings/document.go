package settings

import "cindersaddle/balance"

// document is the settings document. Unknown keys are ignored, so that documents of later versions are accepted.
//
// Some keys are known but have no field, because no decision depends on them:
//   - names, as a decision must not depend on a name
//   - tiers and kinds of peers, nines_full, and the keys of family_info other than warm_keys
//   - the CPU limits, as a pass over all endpoints is cheap enough to stay within any of them
//   - the costs of operations that the sidecar never performs: moves, origin, fleet and discovery
//
// Some other keys that no decision depends on do have a field, so that a value of the wrong type or a negative number
// is rejected.
//
// A field is a pointer if a missing key must be told from the zero value. The corresponding fields of package balance
// document the meaning of the fields. The names of the struct types appear in errors of encoding/json.
type document struct {
	Classes          []classDocument      `json:"classes"`
	Tenants          []tenantDocument     `json:"tenants"`
	Discovery        string               `json:"discovery"`
	InstanceIndex    int                  `json:"my_number"`
	InstanceCount    int                  `json:"peers_total"`
	Zone             int                  `json:"zone"`
	Ratings          string               `json:"weights"`
	WeightBy         string               `json:"value_by"`
	Clients          clientsDocument      `json:"clients"`
	Application      applicationDocument  `json:"family_info"`
	OverQuotaWeight  *float64             `json:"over_share_worth"`
	MinBatchInterval balance.Milliseconds `json:"quantum_ms"`
	LoadReports      reportDocument       `json:"report"`
	Limits           limitsDocument       `json:"limits"`
	Rules            rulesDocument        `json:"rules"`
	ScoreWeights     scoreDocument        `json:"result_mix"`
	Costs            costsDocument        `json:"penalties"`
}

// classDocument holds the settings of a class of requests.
type classDocument struct {
	Idempotency      string                `json:"effect"`
	DedupScope       string                `json:"group"`
	DedupWindow      *balance.Milliseconds `json:"window_ms"`
	LatencyObjective balance.Milliseconds  `json:"on_time_ms"` // 0: equal to the deadline
	ObjectiveStretch float64               `json:"aim_stretch"`
	Deadline         balance.Milliseconds  `json:"hard_limit_ms"`
	PriorityWeight   *float64              `json:"worth"`
	LateWeight       float64               `json:"late_worth"` // fraction of PriorityWeight
	Streaming        bool                  `json:"stream"`
}

// tenantDocument holds the quota of a tenant.
type tenantDocument struct {
	QuotaRate  float64 `json:"allowance_per_s"` // requests per second
	QuotaShare float64 `json:"share"`           // fraction of all requests
}

// clientsDocument describes the behavior of the clients.
type clientsDocument struct {
	RetriesMarked bool `json:"marks_retry"`
}

// applicationDocument describes the behavior of the application.
type applicationDocument struct {
	KeyCaching bool `json:"warm_keys"`
}

// reportDocument describes the load reports: how they arrive, and the names of the values in them, in order.
type reportDocument struct {
	Mode   string   `json:"via"`
	Fields []string `json:"fields"`
}

// limitsDocument holds the limits of the sidecar, and says which optional operations it may use.
type limitsDocument struct {
	Cancellation    bool                 `json:"cancel"`
	ConnectTimeout  balance.Milliseconds `json:"connect_timeout_ms"`
	ConnIdleTimeout balance.Milliseconds `json:"conn_idle_ms"`
	MaxAttempts     *float64             `json:"max_attempts"` // per request
	MaxRetryAfter   balance.Milliseconds `json:"max_retry_after_ms"`
	MaxOpenRequests int                  `json:"open_cap"`
	Hedging         bool                 `json:"parallel_tries"`
	HealthChecks    bool                 `json:"probes"`
	RetryAfter      bool                 `json:"retry_after"`
	StreamsPerConn  *int                 `json:"streams_per_conn"`
}

// rulesDocument holds time limits and the rules of slow start.
type rulesDocument struct {
	ResponseGrace            balance.Milliseconds `json:"answer_slack_ms"`
	MaxPollInterval          balance.Milliseconds `json:"ask_within_ms"`
	SlowStartInitialFraction *float64             `json:"cold_from"` // fraction of the endpoint's capacity
	SlowStartDuration        balance.Milliseconds `json:"cold_ms"`
	DrainGrace               balance.Milliseconds `json:"drain_grace_ms"`
	SlowStartOverloadWindow  balance.Milliseconds `json:"fall_ms"`
	SlowStartOverloadFactor  float64              `json:"fall_multiple"` // multiple of the endpoint's capacity
}

// scoreDocument holds the weights of the components of the score.
type scoreDocument struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	Nines       float64 `json:"nines_part"`
}

// costsDocument holds the costs that the operators state for a sidecar's operations and failures.
type costsDocument struct {
	CrossZone      float64 `json:"cross_zone"`
	WastedWork     float64 `json:"waste"`
	NewConnection  float64 `json:"handshake"`
	HealthCheck    float64 `json:"probe"`
	PeerTraffic    float64 `json:"peer"`
	LateFailure    float64 `json:"late_fail"`
	OpenConnection float64 `json:"connection"`
}

// valueOrDefault returns the value of a key, or defaultValue if the document does not have the key.
func valueOrDefault[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}
