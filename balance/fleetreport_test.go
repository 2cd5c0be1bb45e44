package balance_test

import (
	"flag"
	"testing"
)

var reportFleet = flag.Bool("fleet.report", false, "log figures of simulated fleets")

// TestFleetReport logs what callers get at several loads, as a table. It checks nothing.
//
//	go test ./balance -run '^TestFleetReport$' -v -fleet.report
func TestFleetReport(t *testing.T) {
	if !*reportFleet {
		t.Skip("run with -fleet.report")
	}
	fleets := []struct {
		name   string
		change func(*fleetPlan)
	}{
		{"2 sidecars, 20 ms", func(*fleetPlan) {}},
		{"4 sidecars, 150 ms", func(p *fleetPlan) { p.sidecars, p.meanWork, p.cores = 4, 150, 2 }},
		{"20 sidecars, 150 ms", func(p *fleetPlan) { p.sidecars, p.meanWork, p.cores = 20, 150, 2 }},
	}
	t.Log("| reports | fleet | load | served | within objective | of high priority | rejected | rejected after, " +
		"median and 99th | latency, mean and 99th | attempts | sent again |")
	for _, reports := range []string{"without load reports", "with polled load reports"} {
		for _, fleet := range fleets {
			for _, load := range []float64{1, 1.5, 3} {
				r := runSeeds(t, func(seed uint64) fleetPlan {
					plan := callerTimePlan(reportModes[reports], load)
					plan.seed, plan.duration = seed, 30e3
					fleet.change(&plan)
					return plan
				})
				t.Logf("| %s | %s | %v | %.3f | %.3f | %.3f | %.3f | %.0f, %.0f ms | %.0f, %.0f ms | %.3f | %.3f |",
					reports, fleet.name, load, r.servedShare(), r.onTimeShare(), r.byClass[1].servedShare(),
					r.rejectedShare(), quantile(r.rejectedAt, 0.5), quantile(r.rejectedAt, 0.99),
					mean(r.latencies), quantile(r.latencies, 0.99),
					float64(r.attempts)/float64(r.requests), float64(r.retriesOf)/float64(r.requests))
			}
		}
	}
}

// runSeeds runs the plans of several seeds and returns the sum of their results.
func runSeeds(t *testing.T, plan func(seed uint64) fleetPlan) fleetResult {
	var sum fleetResult
	for seed := range uint64(4) {
		r := runFleet(t, plan(100*seed))
		sum.requests += r.requests
		sum.served += r.served
		sum.onTime += r.onTime
		sum.rejected += r.rejected
		sum.attempts += r.attempts
		sum.retriesOf += r.retriesOf
		sum.rejectedAt = append(sum.rejectedAt, r.rejectedAt...)
		sum.latencies = append(sum.latencies, r.latencies...)
		if sum.byClass == nil {
			sum.byClass = make([]classResult, len(r.byClass))
		}
		for class := range r.byClass {
			sum.byClass[class].requests += r.byClass[class].requests
			sum.byClass[class].served += r.byClass[class].served
		}
	}
	return sum
}
