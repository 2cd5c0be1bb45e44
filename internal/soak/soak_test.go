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

// launchProcess starts a sidecar process. It uses the program with fault injection if there are additional environment
// variables, and the program as shipped otherwise.
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

// TestSoak runs the plans of several seeds and checks that no rule is broken. To run more seeds:
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
			ends := map[standin.ExchangeOutcome]int{}
			for _, exchange := range records.Exchanges {
				ends[exchange.Outcome]++
			}
			t.Logf("%d requests: %v; %d attempts, %d processes",
				len(records.Exchanges), ends, len(records.Attempts), len(records.Incarnations))
		})
	}
}

// maxReportedViolations is the maximum number of violations that are reported with their timelines.
const maxReportedViolations = 4

// reportViolations fails the test if there are violations, and reports the first of them with their timelines.
func reportViolations(t *testing.T, records *Records, violations []Violation) {
	t.Helper()
	if len(violations) > 0 {
		t.Errorf("got %d violations, want none; plan: %v", len(violations), records.Plan)
	}
	for i, violation := range violations {
		if i == maxReportedViolations {
			break
		}
		t.Errorf("rule %q, request %q: %s\n%s",
			violation.Rule, violation.TraceID, violation.Text, records.Timeline(violation.TraceID))
	}
}
