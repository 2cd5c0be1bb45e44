package soak

import (
	"slices"
	"testing"
	"time"
)

// quietPlan returns a plan without faults, in which one endpoint drains and another one restarts.
func quietPlan() *Plan {
	settings := defaultSettings()
	settings.Rules.SlowStartDuration = shortSlowStart
	return &Plan{
		Seed: 1, Sidecars: 2, Endpoints: 4, Workers: 8, TrafficDuration: 5 * time.Second, Settings: settings,
		Sockets: 256, IncompleteConns: 4, DisconnectRate: 0.2,
		Events: []Event{
			{At: 500 * time.Millisecond, Action: DrainEndpoint{Endpoint: endpointID(0), Duration: 3 * time.Second}},
			{At: 500 * time.Millisecond, Action: RestartEndpoint{Endpoint: endpointID(1), Downtime: 200 * time.Millisecond}},
		},
	}
}

// TestJudgeCatchesEachFault checks that Judge reports a violation of the matching rule for sidecars that break a rule
// on purpose, and none for sidecars without a fault. The sidecars, endpoints and clients of a run share the test
// process. The run without a fault does not run in parallel with the others: its endpoints would read requests late,
// and Judge would attribute that to the sidecars.
func TestJudgeCatchesEachFault(t *testing.T) {
	t.Run(string(faultNone), func(t *testing.T) {
		records := runFaultySidecars(t, faultNone)
		reportViolations(t, records, Judge(records))
	})
	for fault, rule := range map[sidecarFault]Rule{
		faultClosesConns:        RuleResponse,
		faultTruncatesResponses: RuleResponse,
		faultMixesUpResponses:   RuleResponse,
		faultNeverResponds:      RuleResponse,
		faultParallelAttempts:   RuleDuplicate,
		faultUnsafeRetries:      RuleDuplicate,
		faultIgnoresDraining:    RuleDrain,
		faultInflatesExpiry:     RuleExpiry,
		faultIgnoresDisconnects: RuleClientDisconnected,
		faultInventsRequests:    RuleUnknownRequest,
		faultIgnoresSlowStart:   RuleSlowStart,
		faultCrashes:            RuleProcess,
		faultNoHeaderTimeout:    RuleIncompleteRequest,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			violations := Judge(runFaultySidecars(t, fault))
			if !slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == rule }) {
				t.Errorf("got %d violations, none of rule %q, want at least one of that rule", len(violations), rule)
			}
		})
	}
}

// runFaultySidecars returns the records of a run of quietPlan with sidecars that have the given fault.
func runFaultySidecars(t *testing.T, fault sidecarFault) *Records {
	t.Helper()
	records, err := Run(quietPlan(), launchFaultySidecar(fault), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return records
}
