package soak

import (
	"testing"
	"time"

	"cindersaddle/internal/standin"
)

// TestKillCutsOffOnlyResponsesToEarlyRequests checks that the judge excuses a truncated response only if SIGKILL at the end of a
// shutdown cut it off and its request had come at most 0.7 s after SIGTERM.
func TestKillCutsOffOnlyResponsesToEarlyRequests(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	const termAt, killedAt = 2.0, 3.3
	for _, test := range []struct {
		sentAt, endedAt float64
		sidecar         SidecarID
		wantViolation   bool
	}{
		{2.1, 3.301, "n0", false},
		{1.0, 3.301, "n0", false},
		{2.8, 3.301, "n0", true},
		{2.1, 3.1, "n0", true},
		{2.1, 3.5, "n0", true},
		{2.1, 3.301, "n1", true},
	} {
		plan := &Plan{Settings: defaultSettings(), TrafficDuration: time.Second, Endpoints: 1}
		records := &Records{Plan: plan, BeganAt: began}
		records.Incarnations = []Incarnation{{
			Sidecar: "n0", StartedAt: began, TermAt: at(termAt), KilledAt: at(killedAt), EndedAt: at(killedAt),
		}}
		exchange := Exchange{Sidecar: test.sidecar}
		exchange.TraceID, exchange.Deadline, exchange.Outcome = "7", time.Second, standin.ExchangeTruncated
		exchange.BeganAt, exchange.SentAt, exchange.EndedAt = at(test.sentAt), at(test.sentAt), at(test.endedAt)
		records.Exchanges = []Exchange{exchange}
		violations := 0
		for _, violation := range Judge(records) {
			if violation.Rule == RuleResponse {
				violations++
			}
		}
		if violated := violations > 0; violated != test.wantViolation {
			t.Errorf("%+v: got %d violations, want any: %v", test, violations, test.wantViolation)
		}
	}
}
