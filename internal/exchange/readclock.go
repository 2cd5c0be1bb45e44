package exchange

import (
	"sync/atomic"
	"time"
)

// readClock measures for how long the last byte of a body may have waited: a request has its deadline from its last byte
// on, but the byte may have arrived while no attempt was reading. The zero value is ready for use, by any goroutine.
type readClock struct {
	receivedAt atomic.Pointer[time.Time] // when the last byte was read; nil: it was not
	pausedAt   atomic.Pointer[time.Time] // since when nobody reads; nil: somebody does
	paused     atomic.Int64              // how long nobody has read in all counted pauses, in nanoseconds
}

// received records when the last byte was read.
func (c *readClock) received(at time.Time) { c.receivedAt.Store(&at) }

// pause records that nobody reads from a moment on.
func (c *readClock) pause(from time.Time) { c.pausedAt.Store(&from) }

// read records that somebody reads.
func (c *readClock) read() { c.pausedAt.Store(nil) }

// countPause counts the pause that lasts until now.
func (c *readClock) countPause(now time.Time) {
	from := c.pausedAt.Load()
	if from == nil {
		return
	}
	c.paused.Add(int64(now.Sub(*from)))
	c.pause(now)
}

// sinceLastByte returns how long ago the last byte can have arrived. While it has not been read, that is the length of the
// counted pauses, as it may have arrived in one of them.
func (c *readClock) sinceLastByte() time.Duration {
	since := time.Duration(c.paused.Load())
	if at := c.receivedAt.Load(); at != nil {
		since += time.Since(*at)
	}
	return since
}
