package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cindersaddle/internal/standin"
)

var (
	soakSeeds  = flag.Int("soak.seeds", 6, "number of seeds that TestSoak runs")
	soakFirst  = flag.Uint64("soak.first", 1, "the first seed")
	soakLength = flag.Duration("soak.length", 7*time.Second, "length of the traffic of a run")
)

// launchProcess starts the built sidecar: with the seam of package fault if the environment names faults, and otherwise as it
// is shipped.
func launchProcess(config standin.ProcessConfig, dir string, environment ...string) (Process, error) {
	path := sidecarPath
	if len(environment) > 0 {
		path = faultSidecarPath
	}
	process, err := standin.StartProcess(path, dir, config, environment...)
	if process == nil {
		return nil, err
	}
	return process, err
}

// TestSoak runs plans of faults and checks that no rule is broken. By hand, with more seeds:
//
//	go test ./internal/soak -run TestSoak -soak.seeds=50 -timeout 60m
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			plan := NewPlan(seed, *soakLength)
			records, err := Run(plan, launchProcess, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			reportViolations(t, records, Judge(records))
			ends := map[standin.ExchangeEnd]int{}
			for _, exchange := range records.Exchanges {
				ends[exchange.End]++
			}
			t.Logf("%d requests: %v; %d attempts, %d processes", len(records.Exchanges), ends, len(records.Attempts), len(records.Incarnations))
		})
	}
}

// maxReportedViolations bounds the violations that are reported with their timelines.
const maxReportedViolations = 4

func reportViolations(t *testing.T, records *Records, violations []Violation) {
	t.Helper()
	if len(violations) > 0 {
		t.Errorf("%d violations under the plan of %v", len(violations), records.Plan)
	}
	for i, violation := range violations {
		if i == maxReportedViolations {
			break
		}
		t.Errorf("rule %q, request %q: %s\n%s", violation.Rule, violation.TraceID, violation.Text, records.Timeline(violation.TraceID))
	}
}
