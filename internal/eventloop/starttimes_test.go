package eventloop

import (
	"math"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

const hour = 3600e3 // in milliseconds

// TestStartTimeAcrossClockSteps checks that a server which has just started does not count as one that has run for long, or
// will start in an hour, because the wall clock was stepped before or after its start.
func TestStartTimeAcrossClockSteps(t *testing.T) {
	const began, now = 1e12, 1e12 + 30e3
	for name, test := range map[string]struct {
		step       balance.Milliseconds // of the wall clock, 10 s after the process began
		listed     balance.Milliseconds
		want       balance.Milliseconds
		toleration balance.Milliseconds
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
		var starts startTimes
		starts.observe(began, began)
		starts.observe(began+10e3, began+10e3+test.step)
		starts.observe(now, now+test.step)
		if got := starts.loopTime(test.listed, now); math.Abs(float64(got-test.want)) > float64(test.toleration) {
			t.Errorf("%s: started %v ms before now, want %v", name, now-got, now-test.want)
		}
	}
}

// TestClockDifferencesAreForgotten checks that what many steps leave behind is bounded and does not last.
func TestClockDifferencesAreForgotten(t *testing.T) {
	var starts startTimes
	for i := range 100 {
		moment := 1e12 + balance.Milliseconds(i)*1000
		starts.observe(moment, moment+balance.Milliseconds(i)*hour)
	}
	if len(starts.differences) > maxClockDifferences {
		t.Errorf("%d differences remembered, want at most %d", len(starts.differences), maxClockDifferences)
	}
	now := balance.Milliseconds(1e12 + 200e3 + clockStepMemory)
	if got, want := starts.loopTime(now+98*hour, now), now-hour; got != want {
		t.Errorf("start at %v, want %v", got, want)
	}
}

// TestRestartAfterClockWasSetBack checks that a restart is noticed although the time listed for it is earlier than the one
// before: the old connections are discarded, and the server warms up.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	l := newTestLoop(t)
	l.upstreamClient = newTestUpstream(t)
	l.clock.update()
	listed := sidecartest.ReadyEndpoint("s-1", "127.0.0.1:9")
	listed.UpSince = float64(l.clock.now - 60e3)
	l.applyList(endpointListUpdate{list: &membership.EndpointList{Complete: true, Members: []membership.Endpoint{listed}}}, balance.UpdateSnapshot)
	endpoint := l.endpoints.byName["s-1"]
	address := endpoint.Address.Load()

	l.starts.observe(l.clock.now, l.clock.now-hour)
	listed.UpSince = float64(l.clock.now - hour - 1000)
	restarted := l.balancerEndpoint(l.updateEndpoint(&listed), &listed)
	if endpoint.Address.Load() == address {
		t.Error("connections to the previous process are still used")
	}
	if age := l.clock.now - restarted.StartedAt; age > 2000 {
		t.Errorf("the server counts as started %v ms ago, want 1000", age)
	}
}
