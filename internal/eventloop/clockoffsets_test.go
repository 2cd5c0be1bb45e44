package eventloop

import (
	"math"
	"testing"

	"cindersaddle/balance"
)

// hour is the size of the steps of the wall clock.
const hour balance.Milliseconds = 60 * 60 * 1000

// The wall clock is stepped by an hour before or after the start of an endpoint, whose time discovery lists by that clock. An
// endpoint that has just started must not count as one that has run for long, which would be overloaded, or as one that will
// start in an hour.
func TestStartTimeAcrossClockSteps(t *testing.T) {
	const began, now = 1e12, 1e12 + 30e3
	for name, test := range map[string]struct {
		step      balance.Milliseconds // of the wall clock, 10 s after the process began
		listed    balance.Milliseconds
		want      balance.Milliseconds
		tolerance balance.Milliseconds
	}{
		"no step":                      {0, now - 5000, now - 5000, 0},
		"long ago":                     {0, 0, 0, 0},
		"forward, then started":        {hour, now + hour - 5000, now - 5000, 0},
		"back, then started":           {-hour, now - hour - 5000, now - 5000, 0},
		"started, then forward":        {hour, now - 5000, now - 5000, 0},
		"started, then back":           {-hour, now - 5000, now - 5000, 0},
		"by seconds, then started":     {-7000, now - 7000 - 5000, now - 5000, 7000},
		"ahead of all clocks":          {0, now + 2*hour, now, 0},
		"started long before the step": {hour, now - 20*hour, now - 20*hour, 0},
	} {
		var steps clockOffsets
		steps.observe(began, began)
		steps.observe(began+10e3, began+10e3+test.step)
		steps.observe(now, now+test.step)
		if got := steps.convertStartTime(test.listed, now); math.Abs(float64(got-test.want)) > float64(test.tolerance) {
			t.Errorf("%s: started %v ms before now, want %v", name, now-got, now-test.want)
		}
	}
}

// The wall clock is stepped every second. The differences that are remembered must be bounded, and must not last.
func TestClockDifferencesAreForgotten(t *testing.T) {
	var steps clockOffsets
	for i := range 100 {
		moment := 1e12 + balance.Milliseconds(i)*1000
		steps.observe(moment, moment+balance.Milliseconds(i)*hour)
	}
	if len(steps.offsets) > maxClockOffsets {
		t.Errorf("%d differences remembered, want at most %d", len(steps.offsets), maxClockOffsets)
	}
	now := balance.Milliseconds(1e12 + 200e3 + clockOffsetRetention)
	if got, want := steps.convertStartTime(now+98*hour, now), now-hour; got != want {
		t.Errorf("start at %v, want %v", got, want)
	}
}

// The wall clock is set back, and an endpoint restarts after that: the time listed for its start is earlier than the one before.
// The restart must be noticed: the old connections are discarded, and the endpoint warms up.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	l, listed := newLoopWithEndpoint(t, 60e3)
	endpoint := l.endpoints.byName["s-1"]
	address := endpoint.Address.Load()

	l.clockOffsets.observe(l.clock.now, l.clock.now-hour)
	listed.StartedAt = l.clock.now - hour - 1000
	restarted := l.toBalancerEndpoint(l.updateEndpoint(&listed), &listed)
	if endpoint.Address.Load() == address {
		t.Error("connections to the previous incarnation are still used")
	}
	if age := l.clock.now - restarted.StartedAt; age > 2000 {
		t.Errorf("the endpoint counts as started %v ms ago, want 1000", age)
	}
}
