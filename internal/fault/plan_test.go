//go:build faults

package fault

import (
	"syscall"
	"testing"
)

// TestParsePlan checks that a valid plan is parsed completely and that an invalid one is an error. If an invalid plan
// were taken for one without faults, the tests that use it would pass without any injected fault.
func TestParsePlan(t *testing.T) {
	plan, err := ParsePlan("seed=7 rate=0.25 short=0.5 peek=EINTR,ENOBUFS accept=EMFILE")
	if err != nil {
		t.Fatal(err)
	}
	if plan.Seed != 7 || plan.ErrorRate != 0.25 || plan.ShortRate != 0.5 {
		t.Errorf("got seed %d, rate %v, short %v; want 7, 0.25, 0.5", plan.Seed, plan.ErrorRate, plan.ShortRate)
	}
	if got := plan.Errors[Peek]; len(got) != 2 || got[0] != syscall.EINTR || got[1] != syscall.ENOBUFS {
		t.Errorf("errors of peek: got %v, want EINTR and ENOBUFS", got)
	}
	if got := plan.Errors[Accept]; len(got) != 1 || got[0] != syscall.EMFILE {
		t.Errorf("errors of accept: got %v, want EMFILE", got)
	}
	for _, text := range []string{"seed=x", "rate=often", "short=", "peek=EVERYTHING", "peek"} {
		if _, err := ParsePlan(text); err == nil {
			t.Errorf("plan %q: got no error, want one", text)
		}
	}
}
