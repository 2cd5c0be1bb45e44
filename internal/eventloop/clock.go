package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// clock is the loop's clock. Its time is Unix milliseconds at the start of the process, advanced by the monotonic
// clock, so that steps of the wall clock do not affect it. origin and originUnix do not change, so any goroutine may
// use the conversions. Only the loop uses now, which never decreases.
type clock struct {
	origin     time.Time            // the start of the process
	originUnix balance.Milliseconds // origin in Unix milliseconds
	now        balance.Milliseconds // the time of the current batch of events; 0 before the first batch
}

// newClock returns a clock with the given origin.
func newClock(origin time.Time) clock {
	return clock{origin: origin, originUnix: wallMilliseconds(origin)}
}

// update sets now to the current time.
func (c *clock) update() { c.now = c.toMilliseconds(time.Now()) }

// toMilliseconds converts a time.Time to a time on the loop's clock.
func (c *clock) toMilliseconds(t time.Time) balance.Milliseconds {
	return c.originUnix + balance.MillisecondsOf(t.Sub(c.origin))
}

// toTime converts a time on the loop's clock to a time.Time with a monotonic clock reading.
func (c *clock) toTime(ms balance.Milliseconds) time.Time {
	return c.origin.Add((ms - c.originUnix).Duration())
}
