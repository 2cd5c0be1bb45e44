package eventloop

import (
	"math"
	"testing"

	"cindersaddle/balance"
)

// hour is the size of the clock steps, in milliseconds.
const hour balance.Milliseconds = 60 * 60 * 1000

// Discovery lists the start of an endpoint by the wall clock, which is stepped by an hour before or after that start.
// An endpoint that has just started must not count as started long ago, which would overload it, or as starting in an
// hour.
func TestStartTimeAcrossClockSteps(t *testing.T) {
	const processStart, now = 1e12, 1e12 + 30e3
	for name, test := range map[string]struct {
		step      balance.Milliseconds // of the wall clock, 10 s after processStart
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
		var clocks clockOffsets
		clocks.observe(processStart, processStart)
		clocks.observe(processStart+10e3, processStart+10e3+test.step)
		clocks.observe(now, now+test.step)
		got := clocks.convertStartTime(test.listed, now)
		if math.Abs(float64(got-test.want)) > float64(test.tolerance) {
			t.Errorf("%s: got a start %v ms before now, want %v (tolerance %v)",
				name, now-got, now-test.want, test.tolerance)
		}
	}
}

// The wall clock is stepped every second. The number of offsets kept must be limited, and offsets that ended more than
// clockOffsetRetention ago must not be used.
func TestOldClockOffsetsAreDropped(t *testing.T) {
	var clocks clockOffsets
	for i := range 100 {
		now := 1e12 + balance.Milliseconds(i)*1000
		clocks.observe(now, now+balance.Milliseconds(i)*hour)
	}
	if len(clocks.offsets) > maxClockOffsets {
		t.Errorf("got %d offsets, want at most %d", len(clocks.offsets), maxClockOffsets)
	}
	now := balance.Milliseconds(1e12 + 200e3 + clockOffsetRetention)
	if got, want := clocks.convertStartTime(now+98*hour, now), now-hour; got != want {
		t.Errorf("got start time %v, want %v", got, want)
	}
}

// The wall clock is set back before an endpoint restarts, so that the listed start time is earlier than the previous
// one. The restart must be noticed: connections to the previous incarnation are discarded, and a new slow start begins.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	l, entry := newLoopWithEndpoint(t, 60e3)
	endpoint := l.endpoints.byName["s-1"]
	address := endpoint.Address.Load()

	l.clockOffsets.observe(l.clock.now, l.clock.now-hour)
	entry.StartedAt = l.clock.now - hour - 1000
	restarted := l.toBalancerEndpoint(l.updateEndpoint(&entry), &entry)
	if endpoint.Address.Load() == address {
		t.Errorf("got the address pointer %p of the previous incarnation, want a new one", address)
	}
	if age := l.clock.now - restarted.StartedAt; age > 2000 {
		t.Errorf("got an endpoint started %v ms ago, want 1000, at most 2000", age)
	}
}
