package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"cindersaddle/balance"
)

// parseDocument returns the configuration of a document, and the decoded document, which also has the keys that no
// decision needs.
func parseDocument(t *testing.T, seed uint64, text string) (balance.Config, document) {
	t.Helper()
	cfg, err := Parse(seed, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var decoded document
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		t.Fatal(err)
	}
	return cfg, decoded
}

// TestParseTranslatesDocument checks the configuration of a document that lacks some keys and has unknown ones.
func TestParseTranslatesDocument(t *testing.T) {
	cfg, decoded := parseDocument(t, 9, `{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000, "fall_multiple": 3, "fall_ms": 700},
		"result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`)
	if cfg.Seed != 9 || !cfg.PolledDiscovery || cfg.InstanceIndex != 2 || cfg.InstanceCount != 5 ||
		!decoded.Limits.Hedging || !cfg.HealthChecks ||
		cfg.Cancellation || cfg.MaxAttempts != 4 || cfg.SlowStartInitialFraction != 0.2 || cfg.Tenants[0].QuotaShare != 0.4 {
		t.Errorf("got %+v with hedging %t, want the values of the document", cfg, decoded.Limits.Hedging)
	}
	wantScore := scoreDocument{Overall: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}
	if decoded.ScoreWeights != wantScore {
		t.Errorf("got score weights %+v, want %+v", decoded.ScoreWeights, wantScore)
	}
	wantDecoded := costsDocument{CrossZone: 1, WastedWork: 2, NewConnection: 3, HealthCheck: 4, PeerTraffic: 5, LateFailure: 6}
	wantCosts := balance.Costs{CrossZone: 1, NewConnection: 3, HealthCheck: 4}
	if decoded.Costs != wantDecoded || cfg.Costs != wantCosts {
		t.Errorf("got costs %+v of %+v, want %+v of %+v", cfg.Costs, decoded.Costs, wantCosts, wantDecoded)
	}
	secondClass := cfg.Classes[1]
	if secondClass.Idempotency != balance.IdempotencyKey || secondClass.DedupScope != balance.DedupCell ||
		secondClass.LatencyObjective != 600 || secondClass.PriorityWeight != 1 {
		t.Errorf("got class %+v, want key and cell, the deadline of 600 ms as objective, and priority weight 1", secondClass)
	}
	if cfg.LoadReports != balance.LoadReportsPolled || len(cfg.LoadReportFields) != 3 ||
		cfg.LoadReportFields[1] != balance.LoadFieldUnknown {
		t.Errorf("got load reports %v with fields %v, want %v with 3 fields, the second unknown (%v)",
			cfg.LoadReports, cfg.LoadReportFields, balance.LoadReportsPolled, balance.LoadFieldUnknown)
	}
}

// TestParseRejectsInvalidDocuments checks that documents are rejected if they have no valid class or an unknown
// enumerated value.
func TestParseRejectsInvalidDocuments(t *testing.T) {
	for _, invalid := range []string{
		``, `[]`, `{}`, `{"classes": []}`, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`, `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := Parse(1, []byte(invalid)); err == nil {
			t.Errorf("document %s: got no error, want one", invalid)
		}
	}
}

// TestParseTranslatesDeploymentKeys checks the keys that only some deployments set.
func TestParseTranslatesDeploymentKeys(t *testing.T) {
	cfg, decoded := parseDocument(t, 1, `{"classes": [
		{"effect": "idempotency_key", "group": "cell", "on_time_ms": 210, "hard_limit_ms": 700, "window_ms": 900},
		{"effect": "non_idempotent", "group": "all", "on_time_ms": 250, "hard_limit_ms": 900, "window_ms": 900}],
		"clients": {"marks_retry": true}, "value_by": "work", "weights": "nominal", "family_info": {"warm_keys": true},
		"limits": {"open_cap": 77, "streams_per_conn": 8, "cpu_us_per_s": 9, "max_attempts": 2},
		"result_mix": {"whole": 0.5, "nines_part": 0.3, "nines_full": 3}, "penalties": {"connection": 0.02},
		"rules": {"cold_from": 0.1, "cold_ms": 8000, "fall_multiple": 2, "fall_ms": 900, "ask_within_ms": 7000}}`)
	if !cfg.ClientRetriesMarked || !cfg.KeyCaching || decoded.WeightBy != "work" || decoded.Ratings != "nominal" ||
		decoded.Limits.MaxOpenRequests != 77 || *decoded.Limits.StreamsPerConn != 8 {
		t.Errorf("got %+v of %+v, want the values of the document", cfg, decoded)
	}
	if decoded.ScoreWeights.Nines != 0.3 || decoded.Costs.OpenConnection != 0.02 || cfg.MaxPollInterval != 7000 ||
		cfg.SlowStartOverloadFactor != 2 {
		t.Errorf("got %+v of %+v, want the values of the document", cfg, decoded)
	}
}

// TestParseRejectsInvalidValues checks that values that make no sense in any deployment are rejected with an error of
// this package.
func TestParseRejectsInvalidValues(t *testing.T) {
	const class = `"classes": [{"effect": "read_like", "hard_limit_ms": 500}]`
	for _, invalid := range []string{
		`{` + class + `, "rules": {"cold_ms": -1}}`,
		`{` + class + `, "rules": {"cold_from": 1.5}}`,
		`{` + class + `, "rules": {"cold_ms": 5000}}`, // slow start without the overload rules
		`{` + class + `, "rules": {"drain_grace_ms": -250}}`,
		`{` + class + `, "rules": {"fall_ms": 1e999}}`,
		`{` + class + `, "limits": {"max_attempts": 0}}`,
		`{` + class + `, "limits": {"open_cap": -4}}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500}]}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500, "window_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 500, "worth": -2}]}`,
	} {
		if _, err := Parse(1, []byte(invalid)); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("document %s: got error %v, want one with the prefix \"settings: \"", invalid, err)
		}
	}
}

// FuzzParse checks that a balancer can handle a request with the configuration of every accepted document. The seed
// corpus runs in CI as an ordinary test.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "rules": {"cold_ms": 1, "fall_ms": 1, "fall_multiple": 2}}`))
	f.Add([]byte(`{"classes": [{"effect": "idempotency_key", "group": "zone", "window_ms": 3, "hard_limit_ms": 1}], "tenants": [{}]}`))
	f.Add([]byte(`{"classes": null}`))
	f.Add([]byte(`[1e400]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := Parse(1, text)
		if err == nil && (len(cfg.Classes) == 0 || cfg.MaxAttempts < 1 || cfg.DrainGrace < 0) {
			t.Fatalf("document %q: got %+v, want classes, at least 1 attempt and no negative drain grace", text, cfg)
		}
		if err == nil {
			balancer := balance.New(cfg)
			balancer.Start(0)
			if _, err := balancer.Handle(1, balance.Request{ID: 1, Remaining: 1}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
