package exchange

import (
	"testing"
	"time"

	"cindersaddle/internal/http1"
)

// TestTimeSinceLastByteCountsWhatMayHaveArrived guards against a time limit that runs from the moment at which a body was read:
// its last byte may have been written long before, while nobody read. Time during which the sidecar waited for the client, or
// during which the client cannot have written the last byte, does not count.
func TestTimeSinceLastByteCountsWhatMayHaveArrived(t *testing.T) {
	const sendBuffer = 1000
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	for name, test := range map[string]struct {
		events func(*ArrivalClock)
		want   time.Time
	}{
		"nobody reads": {func(c *ArrivalClock) {
			c.Observe(at(5), Arrivals{Arrived: 10, Missing: 900})
		}, start},
		"waiting for the client": {func(c *ArrivalClock) {
			c.NoteEmpty(at(3), at(4))
		}, at(4)},
		"more is missing than the client's buffer holds": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5000})
			c.Observe(at(2), Arrivals{Arrived: 4000, Missing: 1010})
			c.Observe(at(3), Arrivals{Arrived: 4100, Missing: 910})
		}, at(2)},
		"more has arrived since than the client's buffer holds": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 0, Missing: http1.UnknownLength})
			c.Observe(at(2), Arrivals{Arrived: 900, Missing: http1.UnknownLength})
			c.Observe(at(3), Arrivals{Arrived: 1001, Missing: http1.UnknownLength})
		}, at(1)},
		"the client can send and bytes are missing": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true})
			c.Observe(at(2), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true})
			c.Observe(at(3), Arrivals{Arrived: 10, Missing: 5})
		}, at(2)},
		"empty after the buffer was full for long": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5})
			c.Observe(at(5), Arrivals{Arrived: 10, Missing: 5})
			c.NoteEmpty(at(6), at(10))
		}, start},
		"empty for longer than that": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5})
			c.Observe(at(5), Arrivals{Arrived: 10, Missing: 5})
			c.NoteEmpty(at(6), at(15))
		}, at(15)},
		"a segment was dropped": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true, OutOfOrder: 1})
			c.Observe(at(2), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true, OutOfOrder: 1})
			c.Observe(at(3), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true, OutOfOrder: 1})
		}, start},
		"a dropped segment has arrived long ago": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true, OutOfOrder: 1})
			c.Observe(at(2), Arrivals{Arrived: 11, Missing: 4, WindowOpen: true, OutOfOrder: 1})
			c.Observe(at(4), Arrivals{Arrived: 11, Missing: 4, WindowOpen: true, OutOfOrder: 1})
		}, at(4)},
		"the client can send only for a moment": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true})
			c.Observe(at(2), Arrivals{Arrived: 10, Missing: 5})
			c.Observe(at(3), Arrivals{Arrived: 10, Missing: 5, WindowOpen: true})
		}, start},
		"the client could send, and has sent since": {func(c *ArrivalClock) {
			c.Observe(at(1), Arrivals{Arrived: 10, Missing: http1.UnknownLength, WindowOpen: true})
			c.Observe(at(2), Arrivals{Arrived: 10, Missing: http1.UnknownLength, WindowOpen: true})
			c.Observe(at(3), Arrivals{Arrived: 11, Missing: http1.UnknownLength, WindowOpen: true})
			c.Observe(at(4), Arrivals{Arrived: 11, Missing: http1.UnknownLength, WindowOpen: true})
		}, at(2)},
		"wait after the end of the body": {func(c *ArrivalClock) {
			c.NoteEmpty(at(0), at(1))
			c.Complete()
			c.NoteEmpty(at(1), at(2))
			c.Observe(at(3), Arrivals{Arrived: 10, Missing: 5000})
		}, at(1)},
		"last byte in the receive buffer": {func(c *ArrivalClock) {
			c.NoteEmpty(at(0), at(1))
			c.Observe(at(2), Arrivals{Arrived: 10, Missing: 0})
			c.NoteEmpty(at(2), at(3))
		}, at(1)},
	} {
		clock := &ArrivalClock{SendBuffer: sendBuffer}
		clock.Start(start, start)
		test.events(clock)
		if got := clock.EarliestLastByte(); !got.Equal(test.want) {
			t.Errorf("%s: got %v after the start, want %v", name, got.Sub(start), test.want.Sub(start))
		}
	}
}

// TestArrivalClockIsBoundedAndNeverLate guards against samples that take memory without end, and against a result after the
// true time: the last byte is written one buffer ahead of what has arrived.
func TestArrivalClockIsBoundedAndNeverLate(t *testing.T) {
	const sendBuffer, perStep, steps = 100_000, 10, 20_000
	start := time.Now()
	clock := &ArrivalClock{SendBuffer: sendBuffer}
	clock.Start(start, start)
	for step := range steps {
		clock.Observe(start.Add(time.Duration(step)*sampleInterval), Arrivals{Arrived: int64(step * perStep), Missing: http1.UnknownLength})
		if len(clock.samples) > maxSamples {
			t.Fatalf("got %d samples, want at most %d", len(clock.samples), maxSamples)
		}
	}
	latest := start.Add(time.Duration(steps-1-sendBuffer/perStep) * sampleInterval)
	if got := clock.EarliestLastByte(); got.After(latest) || got.Equal(start) {
		t.Errorf("got %v after the start, want more than 0 and at most %v", got.Sub(start), latest.Sub(start))
	}
}
