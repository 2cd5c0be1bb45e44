package settings

import "cindersaddle/balance"

// document mirrors the settings document; its times are in milliseconds. Keys that are not here are ignored, those of
// later versions too. Left out on purpose, as no decision needs them: names (decisions must not depend on one), tiers
// and kinds of peers, the rest of family_info, the CPU limits (the pass over the endpoints is cheap enough for all of
// them), nines_full, and the prices of what this module never does (moves, origin, fleet, discovery).
//
// Keys that no decision needs are here where a value of another type, or a negative one, is to be an error.
//
// A pointer is a key whose default is not the zero value.
type document struct {
	Classes         []classDocument      `json:"classes"`
	Tenants         []tenantDocument     `json:"tenants"`
	Discovery       string               `json:"discovery"`
	InstanceIndex   int                  `json:"my_number"`
	InstanceCount   int                  `json:"peers_total"`
	Zone            int                  `json:"zone"`
	Ratings         string               `json:"weights"`
	WeightBy        string               `json:"value_by"`
	Clients         clientsDocument      `json:"clients"`
	Family          familyDocument       `json:"family_info"`
	OverQuotaWeight *float64             `json:"over_share_worth"`
	Quantum         balance.Milliseconds `json:"quantum_ms"`
	Report          reportDocument       `json:"report"`
	Limits          limitsDocument       `json:"limits"`
	Rules           rulesDocument        `json:"rules"`
	ScoreWeights    scoreDocument        `json:"result_mix"`
	Costs           costsDocument        `json:"penalties"`
}

// classDocument is one class of requests.
type classDocument struct {
	Effect           string                `json:"effect"`
	DedupScope       string                `json:"group"`
	DedupWindow      *balance.Milliseconds `json:"window_ms"`
	LatencyObjective balance.Milliseconds  `json:"on_time_ms"` // 0: the deadline
	ObjectiveStretch float64               `json:"aim_stretch"`
	Deadline         balance.Milliseconds  `json:"hard_limit_ms"`
	PriorityWeight   *float64              `json:"worth"`
	LateWeight       float64               `json:"late_worth"`
	Streaming        bool                  `json:"stream"`
}

// tenantDocument is one tenant's quota.
type tenantDocument struct {
	QuotaRate  float64 `json:"allowance_per_s"` // requests per second
	QuotaShare float64 `json:"share"`
}

// clientsDocument says what is known of the clients.
type clientsDocument struct {
	MarkRetries bool `json:"marks_retry"`
}

// familyDocument says what is known of the application.
type familyDocument struct {
	KeyCaching bool `json:"warm_keys"`
}

// reportDocument describes the load reports.
type reportDocument struct {
	Mode   string   `json:"via"`
	Fields []string `json:"fields"`
}

// limitsDocument holds what a sidecar may do.
type limitsDocument struct {
	Cancellation    bool                 `json:"cancel"`
	ConnectTimeout  balance.Milliseconds `json:"connect_timeout_ms"`
	ConnIdleTimeout balance.Milliseconds `json:"conn_idle_ms"`
	MaxAttempts     *float64             `json:"max_attempts"`
	MaxRetryAfter   balance.Milliseconds `json:"max_retry_after_ms"`
	MaxOpenRequests int                  `json:"open_cap"`
	Hedging         bool                 `json:"parallel_tries"`
	HealthChecks    bool                 `json:"probes"`
	RetryAfter      bool                 `json:"retry_after"`
	StreamsPerConn  *int                 `json:"streams_per_conn"`
}

// rulesDocument holds the rules of timing and of endpoints that warm up or are overloaded.
type rulesDocument struct {
	AnswerGrace     balance.Milliseconds `json:"answer_slack_ms"`
	MaxPollInterval balance.Milliseconds `json:"ask_within_ms"`
	WarmUpFraction  *float64             `json:"cold_from"`
	WarmUpDuration  balance.Milliseconds `json:"cold_ms"`
	DrainGrace      balance.Milliseconds `json:"drain_grace_ms"`
	OverloadWindow  balance.Milliseconds `json:"fall_ms"`
	OverloadFactor  float64              `json:"fall_multiple"`
}

// scoreDocument holds the weights of the parts of the score.
type scoreDocument struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	Nines       float64 `json:"nines_part"`
}

// costsDocument holds the prices of what a sidecar does.
type costsDocument struct {
	CrossZone      float64 `json:"cross_zone"`
	WastedWork     float64 `json:"waste"`
	NewConnection  float64 `json:"handshake"`
	HealthCheck    float64 `json:"probe"`
	PeerTraffic    float64 `json:"peer"`
	LateFailure    float64 `json:"late_fail"`
	OpenConnection float64 `json:"connection"`
}

// valueOr returns the value of a key, or a default where the document leaves it out.
func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}
