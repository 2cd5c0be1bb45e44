package soak

import (
	"slices"
	"testing"
	"time"
)

// quietPlan is a plan without faults, with an endpoint that drains and one that restarts.
func quietPlan() *Plan {
	settings := defaultSettings()
	settings.Rules.SlowStartDuration = shortSlowStart
	return &Plan{
		Seed: 1, Sidecars: 2, Endpoints: 4, Workers: 8, TrafficDuration: 5 * time.Second, Settings: settings, Sockets: 256, IncompleteConns: 4, DisconnectRate: 0.2,
		Events: []Event{
			{At: 500 * time.Millisecond, Action: DrainEndpoint{Endpoint: endpointID(0), Duration: 3 * time.Second}},
			{At: 500 * time.Millisecond, Action: RestartEndpoint{Endpoint: endpointID(1), Downtime: 200 * time.Millisecond}},
		},
	}
}

// TestJudgeCatchesEachFault checks that a run with sidecars which break a rule on purpose is caught by that rule, and that one
// without a fault breaks none. Sidecars, endpoints and clients of a run share this process. The run without a fault has it for
// itself: beside the others, its endpoints read requests late, which the judge takes for time that the sidecar lost.
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
				t.Errorf("%d violations, none of rule %q", len(violations), rule)
			}
		})
	}
}

// runFaultySidecars returns the records of a quiet run with sidecars that commit a fault.
func runFaultySidecars(t *testing.T, fault sidecarFault) *Records {
	t.Helper()
	records, err := Run(quietPlan(), launchFaultySidecar(fault), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return records
}
