package exchange

import (
	"sync/atomic"
	"time"
)

// lastByteTracker measures how long ago the last byte of a request body may have arrived. The deadline of a request counts
// from that moment, but the byte may have arrived while no attempt was reading. The zero value is ready for use, and is
// safe for concurrent use.
type lastByteTracker struct {
	receivedAt    atomic.Pointer[time.Time] // when the last byte was read; nil if it was not read yet
	pausedSince   atomic.Pointer[time.Time] // since when no attempt reads; nil while one reads
	countedPauses atomic.Int64              // total length of the counted pauses in nanoseconds
}

// received records when the last byte was read.
func (t *lastByteTracker) received(at time.Time) { t.receivedAt.Store(&at) }

// pause records that no attempt reads, starting at from.
func (t *lastByteTracker) pause(from time.Time) { t.pausedSince.Store(&from) }

// resume records that an attempt reads.
func (t *lastByteTracker) resume() { t.pausedSince.Store(nil) }

// addPause adds the current pause, up to now, to the counted pauses. The rest of the pause is counted by the next call.
func (t *lastByteTracker) addPause(now time.Time) {
	from := t.pausedSince.Load()
	if from == nil {
		return
	}
	t.countedPauses.Add(int64(now.Sub(*from)))
	t.pause(now)
}

// maxAge returns how long ago the last byte may have arrived, at most. While the byte has not been read, that is the
// total length of the counted pauses, because it may have arrived during one of them.
func (t *lastByteTracker) maxAge() time.Duration {
	age := time.Duration(t.countedPauses.Load())
	if at := t.receivedAt.Load(); at != nil {
		age += time.Since(*at)
	}
	return age
}
