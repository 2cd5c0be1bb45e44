package balance_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"cindersaddle/balance"
)

// callerTimeConfig returns settings with two classes of requests, of which the second has the higher priority.
func callerTimeConfig(reports balance.LoadReportMode) balance.Config {
	return balance.Config{
		MaxAttempts: 4, Cancellation: true, RetryAfter: true, MaxRetryAfter: 1000, HealthChecks: true,
		ClientRetriesMarked: true, OverQuotaWeight: 0.05, MinBatchInterval: 1, ConnIdleTimeout: 10e3,
		SlowStartInitialFraction: 0.2, SlowStartDuration: 18e3, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 1000,
		LoadReports: reports, LoadReportFields: []balance.LoadField{balance.LoadFieldInFlight},
		Costs: balance.Costs{CrossZone: 0.01, NewConnection: 0.1, HealthCheck: 0.003},
		Classes: []balance.Class{
			{LatencyObjective: 500, Deadline: 1500, PriorityWeight: 1},
			{LatencyObjective: 600, Deadline: 1200, PriorityWeight: 5},
		},
	}
}

// callerTimePlan returns a plan with endpoints that need 20 ms for a request on average.
func callerTimePlan(reports balance.LoadReportMode, load float64) fleetPlan {
	return fleetPlan{
		seed: 7, sidecars: 2, endpoints: 10, cores: 1, meanWork: 20, load: load, duration: 4e3, minTime: 0.4,
		retries: true, config: callerTimeConfig(reports),
	}
}

// reportModes are the modes of load reports in which the tests below run.
var reportModes = map[string]balance.LoadReportMode{
	"without load reports": balance.LoadReportsNone, "with polled load reports": balance.LoadReportsPolled,
}

// testedLoads are multiples of what the endpoints can do.
var testedLoads = []float64{0.7, 1.5, 3}

// forEachLoad runs a test for each mode of load reports and each load.
func forEachLoad(t *testing.T, loads []float64, test func(*testing.T, fleetPlan)) {
	t.Helper()
	for name, reports := range reportModes {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%s, load %v", name, load), func(t *testing.T) {
				t.Parallel()
				test(t, callerTimePlan(reports, load))
			})
		}
	}
}

// What a caller gets must not depend on settings that say nothing about the time that it has or about the work: the
// latency objectives, the weight of late responses, the price of a health check, and whether a request is marked as a
// client's retry. Otherwise, callers are rejected or wait for no reason of theirs.
func TestCallersGetTheSameWithOtherObjectives(t *testing.T) {
	changes := map[string]func(*fleetPlan){
		"objectives doubled": func(p *fleetPlan) { scaleObjectives(p, 2) },
		"objectives halved":  func(p *fleetPlan) { scaleObjectives(p, 0.5) },
		"late weight": func(p *fleetPlan) {
			for i := range p.config.Classes {
				p.config.Classes[i].LateWeight = 0.9
			}
		},
		"price of health checks": func(p *fleetPlan) { p.config.Costs.HealthCheck = 0.08 },
		"all requests marked":    func(p *fleetPlan) { p.markedShare = 1 },
		"some requests marked":   func(p *fleetPlan) { p.markedShare = 0.3 },
		"marks not reliable":     func(p *fleetPlan) { p.config.ClientRetriesMarked = false },
	}
	forEachLoad(t, testedLoads, func(t *testing.T, plan fleetPlan) {
		want := runFleet(t, plan)
		want.onTime = 0 // counts by the objective itself
		for name, change := range changes {
			changed := clonePlan(plan)
			change(&changed)
			got := runFleet(t, changed)
			got.onTime = 0
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s: got %v, want %v", name, &got, &want)
			}
		}
	})
}

// Prices of connections and of crossing zones may change which endpoint serves a request, but hardly whether it is
// served or how long it waits: only by chance, because other endpoints have other queues.
func TestCallersGetTheSameWithOtherPrices(t *testing.T) {
	const maxShareDifference, maxWaitDifference = 0.02, 2 // fraction of requests, milliseconds
	forEachLoad(t, testedLoads, func(t *testing.T, plan fleetPlan) {
		want := runFleet(t, plan)
		for name, costs := range map[string]balance.Costs{
			"doubled": {CrossZone: 0.02, NewConnection: 0.2}, "halved": {CrossZone: 0.005, NewConnection: 0.05},
		} {
			changed := clonePlan(plan)
			changed.config.Costs = costs
			got := runFleet(t, changed)
			if math.Abs(got.servedShare()-want.servedShare()) > maxShareDifference ||
				math.Abs(got.rejectedShare()-want.rejectedShare()) > maxShareDifference ||
				math.Abs(mean(got.waits)-mean(want.waits)) > maxWaitDifference {
				t.Errorf("prices %s: got %v, want %v", name, &got, &want)
			}
		}
	})
}

// In an overload, as many requests are served before their callers give up as the endpoints can work on, apart from a
// tenth. A longer queue would be useless: callers would leave before their turn.
func TestOverloadIsServedNearCapacity(t *testing.T) {
	const minServedOfCapacity = 0.9
	changes := map[string]func(*fleetPlan){
		"unchanged":              func(*fleetPlan) {},
		"objectives doubled":     func(p *fleetPlan) { scaleObjectives(p, 2) },
		"half of the time":       func(p *fleetPlan) { scaleDeadlines(p, 0.5) },
		"twice the work":         func(p *fleetPlan) { p.meanWork *= 2 },
		"equally patient":        func(p *fleetPlan) { p.minTime = 1 },
		"four sidecars, 2 cores": func(p *fleetPlan) { p.sidecars, p.cores = 4, 2 },
	}
	forEachLoad(t, []float64{1.5, 3}, func(t *testing.T, plan fleetPlan) {
		for name, change := range changes {
			changed := clonePlan(plan)
			change(&changed)
			got := runFleet(t, changed)
			if got.servedShare() < minServedOfCapacity/plan.load {
				t.Errorf("%s: got %v, want at least %.3f served", name, &got, minServedOfCapacity/plan.load)
			}
		}
	})
}

// What is refused follows from the time that callers have and from the work: with half of the time, the requests that
// are served wait less, and with twice the work, more requests are refused.
func TestRefusalsFollowTimeAndWork(t *testing.T) {
	forEachLoad(t, []float64{1.5, 3}, func(t *testing.T, plan fleetPlan) {
		base, lessTime, moreWork := runFleet(t, plan), clonePlan(plan), clonePlan(plan)
		scaleDeadlines(&lessTime, 0.5)
		moreWork.meanWork *= 2
		moreWork.load *= 2 // the same arrivals
		if got := runFleet(t, lessTime); mean(got.latencies) > 0.75*mean(base.latencies) {
			t.Errorf("half of the time: got %v, want a mean latency clearly below that of %v", &got, &base)
		}
		if got := runFleet(t, moreWork); got.rejectedShare() < base.rejectedShare()+0.1 {
			t.Errorf("twice the work: got %v, want more requests rejected than in %v", &got, &base)
		}
	})
}

// The settings state the priority of a class, so that an overload must reach the class with the lower one first: of the
// requests of the other class, which the endpoints can serve without it, at most a third as many may fail.
func TestOverloadReachesLowPriorityFirst(t *testing.T) {
	forEachLoad(t, []float64{1.5}, func(t *testing.T, plan fleetPlan) {
		got := runFleet(t, plan)
		lowUnserved, highUnserved := 1-got.byClass[0].servedShare(), 1-got.byClass[1].servedShare()
		if highUnserved > lowUnserved/3 {
			t.Errorf("got %.3f of the high priority and %.3f of the low one not served, want at most a third as many",
				highUnserved, lowUnserved)
		}
	})
}

// clonePlan returns a copy of a plan whose classes can be changed.
func clonePlan(plan fleetPlan) fleetPlan {
	plan.config.Classes = append([]balance.Class(nil), plan.config.Classes...)
	return plan
}

func scaleObjectives(plan *fleetPlan, factor balance.Milliseconds) {
	for i := range plan.config.Classes {
		plan.config.Classes[i].LatencyObjective *= factor
	}
}

func scaleDeadlines(plan *fleetPlan, factor balance.Milliseconds) {
	for i := range plan.config.Classes {
		plan.config.Classes[i].Deadline *= factor
	}
}
