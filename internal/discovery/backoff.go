package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minCallInterval is the minimum time between the start of a call that returned no new list and the next call. It
	// does not delay the calls to a service that supports watches, which holds a watch for 200 ms or more.
	minCallInterval = 100 * time.Millisecond
	// initialBackoff is the maximum pause after the first failed call.
	initialBackoff = 100 * time.Millisecond
	// maxPolledDoublings is the maximum number of times that the maximum pause doubles in polled mode. It limits the
	// pause to 800 ms, so that the Watcher notices within a second that an address has become reachable.
	maxPolledDoublings = 3
	// maxAgentDoublings is the maximum number of times that the maximum pause doubles in agent mode. It is 0 because an
	// agent is on this machine and a list that it receives takes effect at once.
	maxAgentDoublings = 0
)

// backoff computes the pauses after failed calls that are repeated without waiting for a request of the balancer; see
// Watcher.needsRequest. The maximum pause is initialBackoff at first and doubles with each failure, up to maxDoublings
// times.
type backoff struct {
	doublings    int // number of doublings for the next pause
	maxDoublings int
}

// next returns the pause after a failure and doubles the maximum of the following one.
func (b *backoff) next() time.Duration {
	pause := jittered(initialBackoff << b.doublings)
	b.doublings = min(b.doublings+1, b.maxDoublings)
	return pause
}

// reset restores the initial maximum pause, after a successful call.
func (b *backoff) reset() { b.doublings = 0 }

// jittered returns a random pause between half of longest and longest, so that sidecars do not call at the same time.
func jittered(longest time.Duration) time.Duration { return longest/2 + rand.N(longest/2) }
