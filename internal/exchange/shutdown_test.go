package exchange

import (
	"testing"
	"time"

	"cindersaddle/balance"
)

// The platform kills the process some time after the longest deadline. A late request must have its response before
// everything ends, or the kill loses it.
func TestShutdownTimesAreInOrder(t *testing.T) {
	classes := []balance.Class{{Deadline: 300}, {Deadline: 1200}, {Deadline: 700}}
	longest := LongestDeadline(classes)
	if longest != 1200*time.Millisecond {
		t.Errorf("longest deadline %v, want 1.2s", longest)
	}
	signal := time.Now()
	times := NewShutdownTimes(signal, longest)
	if !times.LateAfter.After(signal) || !times.RespondBy.After(times.LateAfter) || !times.EndBy.After(times.RespondBy) {
		t.Errorf("got %+v, want the signal, LateAfter, RespondBy and EndBy in this order", times)
	}
	if got := times.EndBy.Sub(signal); got < longest {
		t.Errorf("everything ends %v after the signal, want the longest deadline of %v at least", got, longest)
	}
}
