package upstream

import (
	"fmt"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// heldUntil returns when a response stops being held of which nothing more arrives after its first bytes, and what happens then.
func heldUntil(firstBytesAt, deadline, finalDeadline time.Duration) (step http1.BodyStep, at time.Duration) {
	start := time.Now()
	hold := responseHold{}
	received := 0
	for now := time.Duration(0); ; now = at {
		if now >= firstBytesAt {
			received = 1
		}
		var until time.Time
		step, until = hold.next(received, start.Add(now), start.Add(deadline), start.Add(finalDeadline))
		if step != http1.KeepReading {
			return step, now
		}
		at = until.Sub(start)
		if received == 0 {
			at = min(at, firstBytesAt)
		}
	}
}

// TestUndecidedResponseIsHeld guards against forwarding the beginning of a response that may be short or long: whatever the sidecar
// does at the end of its request's time is wrong then for one of them.
func TestUndecidedResponseIsHeld(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		firstBytesAt, deadline, finalDeadline time.Duration
		wantStep                              http1.BodyStep
		wantAt                                time.Duration
	}{
		{20 * ms, 500 * ms, 800 * ms, http1.FailBody, 800 * ms},
		{20 * ms, 1500 * ms, 1800 * ms, http1.FailBody, 1800 * ms},
		{20 * ms, 1700 * ms, 2000 * ms, http1.FailBody, 1920 * ms}, // not held longer, but not begun after its time either
		{20 * ms, 2000 * ms, 2300 * ms, http1.StreamBody, 1920 * ms},
		{900 * ms, 2000 * ms, 2300 * ms, http1.FailBody, 2300 * ms},
		{600 * ms, 500 * ms, 800 * ms, http1.FailBody, 800 * ms},
		{time.Hour, 500 * ms, 800 * ms, http1.FailBody, 800 * ms}, // only the head has arrived
		{20 * ms, 15000 * ms, 15300 * ms, http1.StreamBody, 1920 * ms},
		{20 * ms, 1910 * ms, 2210 * ms, http1.FailBody, 1920 * ms},
		{20 * ms, 500 * ms, 500 * ms, http1.FailBody, 500 * ms}, // a shutdown leaves no time after the deadline
	} {
		if step, at := heldUntil(test.firstBytesAt, test.deadline, test.finalDeadline); step != test.wantStep || at != test.wantAt {
			t.Errorf("%+v: got step %d after %v", test, step, at)
		}
	}
}

// TestShutdownLimitsLateResponse guards against a request that has no final response when the process is killed: its response was
// awaited after its time, as without a shutdown.
func TestShutdownLimitsLateResponse(t *testing.T) {
	deadline := time.Now().Add(time.Second)
	for respondBy, want := range map[time.Duration]time.Duration{
		-time.Second:           0,
		100 * time.Millisecond: 100 * time.Millisecond,
		time.Second:            300 * time.Millisecond,
	} {
		t.Run(fmt.Sprint(respondBy), func(t *testing.T) {
			attempt := newAttempt(newEndpoint(""), 0)
			if got := attempt.finalDeadline(deadline).Sub(deadline); got != 300*time.Millisecond {
				t.Errorf("before the shutdown: got %v after the deadline, want 300 ms", got)
			}
			attempt.Shutdown.Store(&exchange.ShutdownTimes{RespondBy: deadline.Add(respondBy)})
			if got := attempt.finalDeadline(deadline).Sub(deadline); got != want {
				t.Errorf("got %v after the deadline, want %v", got, want)
			}
		})
	}
}
