package exchange

import (
	"testing"
	"time"

	"cindersaddle/balance"
)

// TestShutdownTimesAreInOrder checks that late requests get their responses before everything must have ended, and that
// this is not before the longest deadline. Otherwise responses would be lost when the platform kills the process.
func TestShutdownTimesAreInOrder(t *testing.T) {
	classes := []balance.Class{{Deadline: 300}, {Deadline: 1200}, {Deadline: 700}}
	longest := LongestDeadline(classes)
	if longest != 1200*time.Millisecond {
		t.Errorf("got a longest deadline of %v, want 1.2s", longest)
	}
	signal := time.Now()
	times := NewShutdownTimes(signal, longest)
	if !times.LateAfter.After(signal) || !times.RespondBy.After(times.LateAfter) || !times.EndBy.After(times.RespondBy) {
		t.Errorf("got %+v after the signal at %v, want the signal, LateAfter, RespondBy and EndBy in this order",
			times, signal)
	}
	if got := times.EndBy.Sub(signal); got < longest {
		t.Errorf("got EndBy %v after the signal, want at least the longest deadline of %v", got, longest)
	}
}
