package main

import "encoding/json"

// simulatedClass is a class of requests, with the parts of its settings that the simulation needs.
type simulatedClass struct {
	settings map[string]any
	deadline float64 // milliseconds
	stream   bool
}

// addRandomClasses generates the classes. A case has one kind of class that its number determines, and others at
// random.
func (sim *simulation) addRandomClasses() {
	variants := []struct {
		effect, group string
		stream        bool
	}{
		{"read_like", "all", false}, {"idempotency_key", "all", false}, {"idempotency_key", "zone", false},
		{"idempotency_key", "cell", false}, {"non_idempotent", "all", false}, {"read_like", "all", true},
		{"non_idempotent", "all", true},
	}
	for i := range variants {
		if i != sim.caseNumber%len(variants) && sim.randomChance(0.5) {
			continue
		}
		variant := variants[i]
		deadline := sim.randomBetween(300, 2500)
		settings := map[string]any{
			"effect": variant.effect, "group": variant.group, "stream": variant.stream, "hard_limit_ms": deadline,
			"on_time_ms": deadline * sim.randomBetween(0.2, 0.9), "window_ms": sim.randomBetween(300, 4000),
			"worth": sim.randomBetween(0.5, 6), "late_worth": pickRandom(sim, 0, 0.3), "name": "class", "a_later_key": i,
		}
		if sim.randomChance(0.3) {
			settings["aim_stretch"] = sim.randomBetween(0.5, 3)
		}
		sim.classes = append(sim.classes, simulatedClass{settings, deadline, variant.stream})
	}
}

// setRandomSettings generates the settings that all instances share. The modes of discovery and of load reports
// depend on the number of the case, so that all modes occur.
func (sim *simulation) setRandomSettings() {
	sim.polledDiscovery = sim.caseNumber%2 == 1
	sim.reportMode = []string{"pull", "piggyback", "silent"}[sim.caseNumber/2%3]
	sim.reportFields = []string{"q", "rif", "busy", "lat_ms", "rate", "fail_rate", "a_later_field"}
	fields := sim.reportFields
	sim.random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	sim.reportFields = sim.reportFields[:1+sim.random.IntN(4)]
	sim.batchInterval = pickRandom(sim, 1.0, 2, 5)
	sim.maxAttempts = 1 + sim.random.IntN(5)
	var classes []any
	for _, class := range sim.classes {
		classes = append(classes, class.settings)
	}
	sim.sharedSettings = map[string]any{
		"classes": classes, "peers_total": 2 + sim.random.IntN(30), "quantum_ms": sim.batchInterval,
		"discovery":        []string{"automatic", "subscribe"}[sim.caseNumber%2],
		"clients":          map[string]any{"marks_retry": sim.randomChance(0.5)},
		"report":           map[string]any{"via": sim.reportMode, "fields": sim.reportFields},
		"family_info":      map[string]any{"warm_keys": sim.randomChance(0.5)},
		"weights":          pickRandom(sim, "silent", "nominal", "rough", "live", "a_later_word"),
		"value_by":         pickRandom(sim, "request", "work"),
		"over_share_worth": sim.randomBetween(0, 1), "tenants": sim.randomTenants(), "limits": sim.randomLimits(),
		"rules": sim.randomRules(), "penalties": sim.randomCosts(),
		"a_later_key": map[string]any{"deep": []int{sim.caseNumber}},
		"result_mix": map[string]any{
			"whole": sim.randomBetween(0.1, 1), "worst_class": sim.randomBetween(0, 0.5),
			"worst_tenant": sim.randomBetween(0, 0.5), "worst_window": sim.randomBetween(0, 0.5),
			"nines_part": pickRandom(sim, 0, 0.3),
		},
	}
}

func (sim *simulation) randomTenants() []any {
	tenants := []any{}
	for range sim.random.IntN(4) {
		tenants = append(tenants, map[string]any{
			"name": "t", "share": sim.randomBetween(0.1, 0.5), "allowance_per_s": sim.randomBetween(2, 40),
		})
	}
	return tenants
}

func (sim *simulation) randomLimits() map[string]any {
	return map[string]any{
		"cancel": sim.randomChance(0.8), "conn_idle_ms": sim.randomBetween(200, 10000),
		"connect_timeout_ms": connectTimeout, "max_attempts": sim.maxAttempts,
		"max_retry_after_ms": sim.randomBetween(100, 2000), "may_tell": sim.randomChance(0.5),
		"open_cap": pickRandom(sim, 0, 50, 20000), "parallel_tries": sim.randomChance(0.5), "probes": sim.caseNumber%4 != 3,
		"retry_after": sim.randomChance(0.5), "streams_per_conn": pickRandom(sim, 1, 8), "cpu_us_per_s": 100000,
	}
}

func (sim *simulation) randomRules() map[string]any {
	return map[string]any{
		"answer_slack_ms": responseGrace, "ask_within_ms": sim.randomBetween(1000, 10000),
		"cold_from": sim.randomBetween(0.05, 0.5), "cold_ms": sim.randomBetween(1000, 20000),
		"drain_grace_ms": sim.randomBetween(50, 500), "fall_ms": sim.randomBetween(300, 2000),
		"fall_multiple": sim.randomBetween(1.5, 5),
	}
}

func (sim *simulation) randomCosts() map[string]any {
	costs := map[string]any{}
	for _, name := range []string{"connection", "cross_zone", "discovery", "handshake", "late_fail", "moves", "origin",
		"peer", "probe", "waste", "a_later_price"} {
		costs[name] = sim.randomBetween(0, 0.1)
	}
	return costs
}

// settingsDocument returns the settings document of an instance.
func (sim *simulation) settingsDocument(index int) string {
	sim.sharedSettings["my_number"], sim.sharedSettings["zone"] = index, index%simulatedZones
	text, err := json.Marshal(sim.sharedSettings) // the same in every run: json.Marshal sorts the keys
	if err != nil {
		panic(err)
	}
	return string(text)
}
