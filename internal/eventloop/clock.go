package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// clock is the loop's time: Unix milliseconds at the start of the process, advanced by the monotonic clock, so that steps of
// the system's clock do not show. started and epoch do not change, so that the conversions are safe in any goroutine; now
// belongs to the loop, and does not decrease.
type clock struct {
	origin     time.Time            // the origin
	originUnix balance.Milliseconds // the origin in Unix milliseconds
	now        balance.Milliseconds // the time of the batch of events that is being handled; 0 before the first
}

// newClock returns a clock with the given origin.
func newClock(started time.Time) clock {
	return clock{origin: started, originUnix: wallMilliseconds(started)}
}

// update sets now to the present moment.
func (c *clock) update() { c.now = c.toMilliseconds(time.Now()) }

// milliseconds converts a moment to the loop's time.
func (c *clock) toMilliseconds(moment time.Time) balance.Milliseconds {
	return c.originUnix + balance.MillisecondsOf(moment.Sub(c.origin))
}

// toTime converts a point in the loop's time to a moment, which is on the monotonic clock.
func (c *clock) toTime(point balance.Milliseconds) time.Time {
	return c.origin.Add((point - c.originUnix).Duration())
}
