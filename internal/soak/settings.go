package soak

import "cindersaddle/internal/membership"

// settingsDocument is the part of the settings that a run chooses, with the keys of the configuration file.
type settingsDocument struct {
	Classes   []classSettings  `json:"classes"`
	Tenants   []tenantSettings `json:"tenants"`
	Discovery string           `json:"discovery"`
	Kinds     []string         `json:"kinds"`
	Zones     []string         `json:"zones"`
	Zone      int              `json:"zone"`
	Weights   string           `json:"weights"`
	Limits    limitSettings    `json:"limits"`
	Number    int              `json:"my_number"`
	Peers     int              `json:"peers_total"`
	Quantum   float64          `json:"quantum_ms"`
	Report    reportSettings   `json:"report"`
	Rules     ruleSettings     `json:"rules"`
}

// classSettings are the settings of a class; times are in milliseconds.
type classSettings struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Group    string  `json:"group"`
	OnTime   float64 `json:"on_time_ms"`
	Deadline float64 `json:"hard_limit_ms"`
	Window   float64 `json:"window_ms"`
	Worth    float64 `json:"worth"`
}

// tenantSettings are the settings of a tenant.
type tenantSettings struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	Allowance float64 `json:"allowance_per_s"`
}

// limitSettings are what a sidecar may do; times are in milliseconds.
type limitSettings struct {
	Cancel         bool    `json:"cancel"`
	ConnIdle       float64 `json:"conn_idle_ms"`
	ConnectTimeout float64 `json:"connect_timeout_ms"`
	MaxAttempts    int     `json:"max_attempts"`
	MaxRetryAfter  float64 `json:"max_retry_after_ms"`
	OpenCap        int     `json:"open_cap"`
	ParallelTries  bool    `json:"parallel_tries"`
	Probes         bool    `json:"probes"`
	RetryAfter     bool    `json:"retry_after"`
	StreamsPerConn int     `json:"streams_per_conn"`
}

// reportSettings describe the load reports.
type reportSettings struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

// ruleSettings are the figures of the rules; times are in milliseconds.
type ruleSettings struct {
	AnswerSlack  float64 `json:"answer_slack_ms"`
	AskWithin    float64 `json:"ask_within_ms"`
	ColdFrom     float64 `json:"cold_from"`
	ColdTime     float64 `json:"cold_ms"`
	DrainGrace   float64 `json:"drain_grace_ms"`
	FallTime     float64 `json:"fall_ms"`
	FallMultiple float64 `json:"fall_multiple"`
}

// defaultSettings returns settings with a class of each effect.
func defaultSettings() settingsDocument {
	class := func(name, effect, group string, window float64) classSettings {
		return classSettings{Name: name, Effect: effect, Group: group, OnTime: 500, Deadline: 2000, Window: window, Worth: 1}
	}
	return settingsDocument{
		Classes: []classSettings{
			class("read", "read_like", "all", 3000),
			class("reserve", "idempotency_key", "cell", 3000),
			class("pay", "non_idempotent", "all", 0),
		},
		Tenants:   []tenantSettings{{Name: "acme", Share: 1, Allowance: 1000}},
		Discovery: "automatic",
		Kinds:     []string{"small"},
		Zones:     []string{"room-1", "room-2"},
		Weights:   "rough",
		Limits: limitSettings{
			Cancel: true, ConnIdle: 10000, ConnectTimeout: 1000, MaxAttempts: 5, MaxRetryAfter: 2000, OpenCap: 1000,
			ParallelTries: true, Probes: true, RetryAfter: true, StreamsPerConn: 1,
		},
		Peers:   1,
		Quantum: 2,
		Report:  reportSettings{Fields: []string{"busy", "rate"}, Via: "piggyback"},
		Rules: ruleSettings{
			AnswerSlack: 8, AskWithin: 10000, ColdFrom: 0.12, ColdTime: 24000, DrainGrace: 250, FallTime: 3000, FallMultiple: 2.5,
		},
	}
}

// readyEndpoint returns the list entry of a server that accepts requests.
func readyEndpoint(id, address string) membership.Endpoint {
	return membership.Endpoint{ID: id, HostPort: address, Locality: "room-1", Flavor: "small", Cell: 1, Phase: "ready", Size: 1}
}
