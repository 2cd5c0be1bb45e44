package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// minCallInterval is the shortest time from one call to the next where the first returned no new list. A service that
	// supports watches holds one for 200 ms or more.
	minCallInterval = 100 * time.Millisecond
	// backoffBase is the longest pause after the first failed call.
	backoffBase = 100 * time.Millisecond
	// maxPolledDoublings bounds the pause, so that an address that comes up is noticed within a second.
	maxPolledDoublings = 3
	// maxAgentDoublings is 0 as an agent is on this machine, and a list that it gets takes effect at once.
	maxAgentDoublings = 0
)

// backoff gives the pauses between failed calls that nothing requests. The longest pause is backoffBase at first and
// doubles with each failure.
type backoff struct {
	doublings    int // of the next pause
	maxDoublings int
}

// next returns the pause after one more failure.
func (b *backoff) next() time.Duration {
	pause := jittered(backoffBase << b.doublings)
	b.doublings = min(b.doublings+1, b.maxDoublings)
	return pause
}

// reset starts again from the shortest pause, after a call that succeeded.
func (b *backoff) reset() { b.doublings = 0 }

// jittered returns a random pause between half of the longest one and the longest one, so that sidecars do not call in
// step.
func jittered(longest time.Duration) time.Duration { return longest/2 + rand.N(longest/2) }
