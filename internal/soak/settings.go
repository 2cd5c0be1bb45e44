package soak

import (
	"math/rand/v2"
	"time"

	"cindersaddle/balance"
)

// settingsDocument holds the settings of a sidecar that a run sets, under the keys of the configuration file.
type settingsDocument struct {
	Classes       []classSettings      `json:"classes"`
	Tenants       []tenantSettings     `json:"tenants"`
	Discovery     string               `json:"discovery"`
	MachineTypes  []string             `json:"kinds"`
	Zones         []string             `json:"zones"`
	Zone          int                  `json:"zone"`
	Ratings       string               `json:"weights"`
	Limits        limitSettings        `json:"limits"`
	InstanceIndex int                  `json:"my_number"`
	InstanceCount int                  `json:"peers_total"`
	Quantum       balance.Milliseconds `json:"quantum_ms"`
	Report        reportSettings       `json:"report"`
	Rules         ruleSettings         `json:"rules"`
}

// classSettings are the settings of a class.
type classSettings struct {
	Name             string               `json:"name"`
	Idempotency      balance.Idempotency  `json:"-"`      // the parsed form of Effect
	Effect           string               `json:"effect"` // one of effectNames
	DedupScope       string               `json:"group"`
	LatencyObjective balance.Milliseconds `json:"on_time_ms"`
	Deadline         balance.Milliseconds `json:"hard_limit_ms"`
	DedupWindow      balance.Milliseconds `json:"window_ms"`
	PriorityWeight   float64              `json:"worth"`
}

// tenantSettings are the settings of a tenant.
type tenantSettings struct {
	Name       string  `json:"name"`
	QuotaShare float64 `json:"share"`
	QuotaRate  float64 `json:"allowance_per_s"` // requests per second
}

// limitSettings are the limits of a sidecar and the features that it may use.
type limitSettings struct {
	Cancellation    bool                 `json:"cancel"`
	ConnIdleTimeout balance.Milliseconds `json:"conn_idle_ms"`
	ConnectTimeout  balance.Milliseconds `json:"connect_timeout_ms"`
	MaxAttempts     int                  `json:"max_attempts"`
	MaxRetryAfter   balance.Milliseconds `json:"max_retry_after_ms"`
	MaxOpenRequests int                  `json:"open_cap"`
	Hedging         bool                 `json:"parallel_tries"`
	HealthChecks    bool                 `json:"probes"`
	RetryAfter      bool                 `json:"retry_after"`
	StreamsPerConn  int                  `json:"streams_per_conn"`
}

// reportSettings are the settings of load reports.
type reportSettings struct {
	Fields []string `json:"fields"`
	Mode   string   `json:"via"`
}

// ruleSettings are the settings of timing, and of endpoints that are in slow start or overloaded.
type ruleSettings struct {
	AnswerGrace              balance.Milliseconds `json:"answer_slack_ms"`
	MaxPollInterval          balance.Milliseconds `json:"ask_within_ms"`
	SlowStartInitialFraction float64              `json:"cold_from"`
	SlowStartDuration        balance.Milliseconds `json:"cold_ms"`
	DrainGrace               balance.Milliseconds `json:"drain_grace_ms"`
	SlowStartOverloadWindow  balance.Milliseconds `json:"fall_ms"`
	SlowStartOverloadFactor  float64              `json:"fall_multiple"`
}

const (
	tenantName      = "acme"
	zoneName        = "room-1" // of all sidecars and endpoints
	machineTypeName = "small"  // of all endpoints
)

// effectNames maps each kind of idempotency to its name in the settings.
var effectNames = map[balance.Idempotency]string{
	balance.Idempotent:     "read_like",
	balance.IdempotencyKey: "idempotency_key",
	balance.NonIdempotent:  "non_idempotent",
}

// defaultSettings returns settings with one class for each kind of idempotency. All times are in milliseconds.
func defaultSettings() settingsDocument {
	return settingsDocument{
		Classes: []classSettings{
			defaultClass("read", balance.Idempotent, "all", 3000),
			defaultClass("reserve", balance.IdempotencyKey, "cell", 3000),
			defaultClass("pay", balance.NonIdempotent, "all", 0),
		},
		Tenants:      []tenantSettings{{Name: tenantName, QuotaShare: 1, QuotaRate: 1000}},
		Discovery:    "automatic",
		MachineTypes: []string{machineTypeName},
		Zones:        []string{zoneName, "room-2"},
		Ratings:      "rough",
		Limits: limitSettings{
			Cancellation: true, ConnIdleTimeout: 10000, ConnectTimeout: 1000, MaxAttempts: 5, MaxRetryAfter: 2000,
			MaxOpenRequests: 1000, Hedging: true, HealthChecks: true, RetryAfter: true, StreamsPerConn: 1,
		},
		InstanceCount: 1,
		Quantum:       2,
		Report:        reportSettings{Fields: []string{"busy", "rate"}, Mode: "piggyback"},
		Rules: ruleSettings{
			AnswerGrace: 8, MaxPollInterval: 10000, SlowStartInitialFraction: 0.12, SlowStartDuration: 24000, DrainGrace: 250,
			SlowStartOverloadWindow: 3000, SlowStartOverloadFactor: 2.5,
		},
	}
}

// defaultClass returns a class with the given properties. Its endpoints remember idempotency keys for dedupWindow.
func defaultClass(
	name string, idempotency balance.Idempotency, dedupScope string, dedupWindow balance.Milliseconds,
) classSettings {
	return classSettings{
		Name: name, Idempotency: idempotency, Effect: effectNames[idempotency],
		DedupScope: dedupScope, DedupWindow: dedupWindow, LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1,
	}
}

const (
	// shortSlowStart is a duration of slow start that is short enough for a run to see the greater part of it.
	shortSlowStart balance.Milliseconds = 4000
	// minUsualDeadline is the shortest usual deadline of a class. Others are longer by less than usualDeadlineSpread.
	minUsualDeadline    balance.Milliseconds = 1000
	usualDeadlineSpread balance.Milliseconds = 1000
	// minShortDeadline and shortDeadlineSpread are the same for plans with short deadlines.
	minShortDeadline    balance.Milliseconds = 300
	shortDeadlineSpread balance.Milliseconds = 400
	// minObjectiveFraction is the shortest latency objective, as a fraction of the deadline of the class. Others are
	// longer by less than objectiveFractionSpread. No decision depends on it.
	minObjectiveFraction    = 0.3
	objectiveFractionSpread = 0.4
	// minDedupWindowMultiple is the shortest dedup window, as a multiple of the deadline of the class. Others are longer
	// by less than dedupWindowMultipleSpread.
	minDedupWindowMultiple    = 0.5
	dedupWindowMultipleSpread = 2
)

// connIdleTimeouts are the idle timeouts of connections, which are equally probable.
var connIdleTimeouts = []balance.Milliseconds{600, 2000, 10000}

// randomSettings returns random settings. With equal probability, all classes have usual or short deadlines.
func randomSettings(random *rand.Rand) settingsDocument {
	settings := defaultSettings()
	short := random.IntN(2) == 0
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.Deadline = minUsualDeadline + usualDeadlineSpread*balance.Milliseconds(random.Float64())
		if short {
			class.Deadline = minShortDeadline + shortDeadlineSpread*balance.Milliseconds(random.Float64())
		}
		objectiveFraction := minObjectiveFraction + objectiveFractionSpread*random.Float64()
		class.LatencyObjective = class.Deadline * balance.Milliseconds(objectiveFraction)
		if class.DedupWindow > 0 {
			windowMultiple := minDedupWindowMultiple + dedupWindowMultipleSpread*random.Float64()
			class.DedupWindow = class.Deadline * balance.Milliseconds(windowMultiple)
		}
	}
	settings.Limits.ConnIdleTimeout = connIdleTimeouts[random.IntN(len(connIdleTimeouts))]
	settings.Rules.SlowStartDuration = shortSlowStart
	return settings
}

// longestDeadline returns the longest deadline of any class.
func (s *settingsDocument) longestDeadline() time.Duration {
	var longest balance.Milliseconds
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest.Duration()
}

// dedupWindow returns how long endpoints remember the idempotency keys of a class, or 0 for an unknown class.
func (s *settingsDocument) dedupWindow(className string) time.Duration {
	for _, class := range s.Classes {
		if class.Name == className {
			return class.DedupWindow.Duration()
		}
	}
	return 0
}
