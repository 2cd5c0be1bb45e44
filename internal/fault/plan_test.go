//go:build faults

package fault

import (
	"syscall"
	"testing"
)

// A plan is text in an environment variable: one with a mistake must not pass for a plan without faults, with which a test
// would succeed without testing anything.
func TestParsePlan(t *testing.T) {
	plan, err := ParsePlan("seed=7 rate=0.25 short=0.5 peek=EINTR,ENOBUFS accept=EMFILE")
	if err != nil {
		t.Fatal(err)
	}
	if plan.Seed != 7 || plan.Rate != 0.25 || plan.Short != 0.5 {
		t.Errorf("seed %d, rate %v, short %v; want 7, 0.25, 0.5", plan.Seed, plan.Rate, plan.Short)
	}
	if got := plan.Errors[Peek]; len(got) != 2 || got[0] != syscall.EINTR || got[1] != syscall.ENOBUFS {
		t.Errorf("errors of peek: %v, want EINTR and ENOBUFS", got)
	}
	if got := plan.Errors[Accept]; len(got) != 1 || got[0] != syscall.EMFILE {
		t.Errorf("errors of accept: %v, want EMFILE", got)
	}
	for _, text := range []string{"seed=x", "rate=often", "short=", "peek=EVERYTHING", "peek"} {
		if _, err := ParsePlan(text); err == nil {
			t.Errorf("plan %q was accepted", text)
		}
	}
}
