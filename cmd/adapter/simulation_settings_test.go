package main

import "encoding/json"

// simulatedClass is a class of requests.
type simulatedClass struct {
	settings map[string]any
	deadline float64
	stream   bool
}

// drawClasses draws the classes. Each case has one kind of class for certain, and some others.
func (sim *simulation) drawClasses() {
	variants := []struct {
		effect, group string
		stream        bool
	}{
		{"read_like", "all", false}, {"idempotency_key", "all", false}, {"idempotency_key", "zone", false},
		{"idempotency_key", "cell", false}, {"non_idempotent", "all", false}, {"read_like", "all", true},
		{"non_idempotent", "all", true},
	}
	for i := range variants {
		if i != sim.number%len(variants) && sim.chance(0.5) {
			continue
		}
		variant := variants[i]
		deadline := sim.between(300, 2500)
		settings := map[string]any{
			"effect": variant.effect, "group": variant.group, "stream": variant.stream, "hard_limit_ms": deadline,
			"on_time_ms": deadline * sim.between(0.2, 0.9), "window_ms": sim.between(300, 4000),
			"worth": sim.between(0.5, 6), "late_worth": pick(sim, 0, 0.3), "name": "class", "a_later_key": i,
		}
		if sim.chance(0.3) {
			settings["aim_stretch"] = sim.between(0.5, 3)
		}
		sim.classes = append(sim.classes, simulatedClass{settings, deadline, variant.stream})
	}
}

// drawSettings draws the settings that all instances have in common. The modes of discovery and of load reports alternate
// between cases.
func (sim *simulation) drawSettings() {
	sim.polledDiscovery = sim.number%2 == 1
	sim.reportMode = []string{"pull", "piggyback", "silent"}[sim.number/2%3]
	sim.reportFields = []string{"q", "rif", "busy", "lat_ms", "rate", "fail_rate", "a_later_field"}
	fields := sim.reportFields
	sim.random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	sim.reportFields = sim.reportFields[:1+sim.random.IntN(4)]
	sim.quantum = pick(sim, 1.0, 2, 5)
	sim.maxAttempts = 1 + sim.random.IntN(5)
	var classes []any
	for _, c := range sim.classes {
		classes = append(classes, c.settings)
	}
	sim.sharedSettings = map[string]any{
		"classes": classes, "peers_total": 2 + sim.random.IntN(30), "quantum_ms": sim.quantum,
		"discovery": []string{"automatic", "subscribe"}[sim.number%2], "clients": map[string]any{"marks_retry": sim.chance(0.5)},
		"report": map[string]any{"via": sim.reportMode, "fields": sim.reportFields}, "family_info": map[string]any{"warm_keys": sim.chance(0.5)},
		"weights": pick(sim, "silent", "nominal", "rough", "live", "a_later_word"), "value_by": pick(sim, "request", "work"),
		"over_share_worth": sim.between(0, 1), "tenants": sim.drawTenants(), "limits": sim.drawLimits(),
		"rules": sim.drawRules(), "penalties": sim.drawCosts(), "a_later_key": map[string]any{"deep": []int{sim.number}},
		"result_mix": map[string]any{"whole": sim.between(0.1, 1), "worst_class": sim.between(0, 0.5),
			"worst_tenant": sim.between(0, 0.5), "worst_window": sim.between(0, 0.5), "nines_part": pick(sim, 0, 0.3)},
	}
}

func (sim *simulation) drawTenants() []any {
	tenants := []any{}
	for range sim.random.IntN(4) {
		tenants = append(tenants, map[string]any{"name": "t", "share": sim.between(0.1, 0.5), "allowance_per_s": sim.between(2, 40)})
	}
	return tenants
}

func (sim *simulation) drawLimits() map[string]any {
	return map[string]any{
		"cancel": sim.chance(0.8), "conn_idle_ms": sim.between(200, 10000), "connect_timeout_ms": connectTimeout,
		"max_attempts": sim.maxAttempts, "max_retry_after_ms": sim.between(100, 2000), "may_tell": sim.chance(0.5),
		"open_cap": pick(sim, 0, 50, 20000), "parallel_tries": sim.chance(0.5), "probes": sim.number%4 != 3,
		"retry_after": sim.chance(0.5), "streams_per_conn": pick(sim, 1, 8), "cpu_us_per_s": 100000,
	}
}

func (sim *simulation) drawRules() map[string]any {
	return map[string]any{
		"answer_slack_ms": responseGrace, "ask_within_ms": sim.between(1000, 10000), "cold_from": sim.between(0.05, 0.5),
		"cold_ms": sim.between(1000, 20000), "drain_grace_ms": sim.between(50, 500), "fall_ms": sim.between(300, 2000),
		"fall_multiple": sim.between(1.5, 5),
	}
}

func (sim *simulation) drawCosts() map[string]any {
	costs := map[string]any{}
	for _, name := range []string{"connection", "cross_zone", "discovery", "handshake", "late_fail", "moves", "origin",
		"peer", "probe", "waste", "a_later_price"} {
		costs[name] = sim.between(0, 0.1)
	}
	return costs
}

// profile returns the settings document of one instance.
func (sim *simulation) profile(index int) string {
	sim.sharedSettings["my_number"], sim.sharedSettings["zone"] = index, index%simulatedZones
	text, err := json.Marshal(sim.sharedSettings) // json.Marshal sorts the keys
	if err != nil {
		panic(err)
	}
	return string(text)
}
