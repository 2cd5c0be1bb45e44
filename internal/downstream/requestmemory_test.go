package downstream

import (
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/memory"
)

// TestMemoryWaitFollowsTimeLeft guards against requests that are refused for lack of memory while they could still be answered,
// or that wait when they cannot: they were refused after 0.4 of their time, whatever their response takes.
func TestMemoryWaitFollowsTimeLeft(t *testing.T) {
	const tolerance = 90 * time.Millisecond
	for _, test := range []struct {
		remaining, responseTime, want time.Duration
	}{
		{remaining: 400 * time.Millisecond, responseTime: 100 * time.Millisecond, want: 300 * time.Millisecond},
		{remaining: 800 * time.Millisecond, responseTime: 100 * time.Millisecond, want: 700 * time.Millisecond},
		{remaining: 400 * time.Millisecond, responseTime: 200 * time.Millisecond, want: 200 * time.Millisecond},
		{remaining: 400 * time.Millisecond, responseTime: 500 * time.Millisecond, want: 0},
		{remaining: 400 * time.Millisecond, want: 400*time.Millisecond - minResponseTime},
	} {
		tracker := NewConnTracker(1)
		tracker.Memory = memory.NewBudget(requestBytes)
		conn := &Conn{tracker: tracker, openedAt: time.Now(), requestNumber: 1}
		holder := tracker.Memory.NewReservation()
		if !holder.Grow(memory.Attempts, requestBytes) {
			t.Fatal("got no memory in an empty budget")
		}
		startedAt := time.Now()
		required := conn.newRequestMemory(test.remaining, test.responseTime, 0)
		if waited := time.Since(startedAt); required != nil || waited < test.want || waited > test.want+tolerance {
			t.Errorf("%v left, responses take %v, no memory: got granted %v after %v, want a refusal after %v",
				test.remaining, test.responseTime, required != nil, waited, test.want)
		}
		releaseAfter := test.want / 2
		time.AfterFunc(releaseAfter, holder.Release)
		startedAt = time.Now()
		if required = conn.newRequestMemory(test.remaining, test.responseTime, 0); required == nil && test.want > 0 {
			t.Errorf("%v left, responses take %v, memory after %v: got a refusal after %v, want the memory",
				test.remaining, test.responseTime, releaseAfter, time.Since(startedAt))
		}
	}
}

// TestMemoryWaitEndsWithShutdown guards against a request that is read late in a shutdown, waits for memory as long as its client
// does, and has no response when the process is killed.
func TestMemoryWaitEndsWithShutdown(t *testing.T) {
	const untilRespondBy, tolerance = 200 * time.Millisecond, 90 * time.Millisecond
	for name, test := range map[string]struct {
		lateAfter time.Duration // from now
		want      time.Duration
	}{
		"late":     {-time.Millisecond, untilRespondBy},
		"not late": {time.Hour, 500*time.Millisecond - minResponseTime},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewConnTracker(1)
			tracker.Memory = memory.NewBudget(0)
			tracker.State = &exchange.ServiceState{}
			startedAt := time.Now()
			tracker.State.Shutdown.Store(&exchange.ShutdownTimes{
				LateAfter: startedAt.Add(test.lateAfter), RespondBy: startedAt.Add(untilRespondBy),
			})
			conn := &Conn{tracker: tracker, openedAt: startedAt, requestNumber: 1}
			required := conn.newRequestMemory(500*time.Millisecond, 0, 0)
			if waited := time.Since(startedAt); required != nil || waited < test.want || waited > test.want+tolerance {
				t.Errorf("got granted %v after %v, want a refusal after %v", required != nil, waited, test.want)
			}
			headWait := conn.headDeadline().Sub(startedAt)
			if limited := headWait <= untilRespondBy; limited != (name == "late") {
				t.Errorf("got a head that may wait for %v, want it limited to %v: %v", headWait, untilRespondBy, name == "late")
			}
		})
	}
}
