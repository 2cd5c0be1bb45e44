package exchange

import (
	"sync"
	"time"
)

const (
	// sampleInterval is the minimum time between two samples of an ArrivalClock.
	sampleInterval = 20 * time.Millisecond
	// maxSamples limits the samples of an ArrivalClock. If it is reached, every second one is dropped, which makes the result
	// earlier.
	maxSamples = 128
)

// SettleTime is how long bytes may take from the send buffer of a client to the receive buffer of the sidecar, if there is room.
const SettleTime = 20 * time.Millisecond

// UnknownLength is a number of bytes that is not known.
const UnknownLength = -1

// ArrivalClock determines when the client of an upload may have written the last byte at the earliest. The time limit of the
// request counts from then, but the byte may be read much later: while the endpoint accepts nothing, the body waits in the
// receive buffer of the sidecar and in the send buffer of the client, where the sidecar does not see it.
//
// The last byte was certainly not written
//   - at the end of SettleTime or more in which the receive buffer was empty and the body not complete: what waits in the send
//     buffer of the client arrives within that time;
//   - while more bytes were missing than the send buffer of the client can hold, whether the length of the body is known or
//     they have arrived since;
//   - at the end of such a time in which the client could send (Arrivals.WindowOpen) and bytes were missing, which is known from
//     the length of the body, or because more have arrived since.
//
// The zero value must be given a start with NoteEmpty. It is safe for concurrent use.
type ArrivalClock struct {
	SendBuffer int64 // size of the largest send buffer of a client, in bytes; set before use

	mu        sync.Mutex
	earliest  time.Time
	complete  bool
	samples   []arrivalSample // oldest first
	openSince time.Time       // since when the window is open; zero: it was closed at the last observation
	settled   *arrivalSample  // last observation at which the window had been open for SettleTime; nil: none since it was closed
}

// Arrivals is what is known about a body at a time.
type Arrivals struct {
	Arrived    int64 // bytes that have arrived, in any way of counting that only grows
	Missing    int64 // bytes that have not arrived, or UnknownLength
	WindowOpen bool  // the receive buffer has so much room that the client can send all that it writes
}

// arrivalSample is how many bytes had arrived at a time.
type arrivalSample struct {
	at      time.Time
	arrived int64
}

// EarliestLastByte returns when the last byte may have been written at the earliest.
func (c *ArrivalClock) EarliestLastByte() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earliest
}

// NoteEmpty records that the receive buffer was empty for SettleTime until the given time, and that the body was not complete.
func (c *ArrivalClock) NoteEmpty(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(at)
}

// Complete records that the body has arrived completely: the result does not change any more.
func (c *ArrivalClock) Complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
	c.samples = nil
}

// Observe records what has arrived by now.
func (c *ArrivalClock) Observe(now time.Time, body Arrivals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if body.Missing > c.SendBuffer {
		c.advance(now)
	}
	c.observeWindow(now, body)
	c.addSample(now, body.Arrived)
	for len(c.samples) > 0 && c.samples[0].arrived < body.Arrived-c.SendBuffer {
		c.advance(c.samples[0].at)
		c.samples = c.samples[1:]
	}
	if body.Missing == 0 {
		c.complete = true
		c.samples = nil
	}
}

// observeWindow moves the result if the client could send and has not. The caller holds mu.
func (c *ArrivalClock) observeWindow(now time.Time, body Arrivals) {
	if !body.WindowOpen {
		c.openSince, c.settled = time.Time{}, nil
		return
	}
	if c.openSince.IsZero() {
		c.openSince = now
	}
	if now.Sub(c.openSince) < SettleTime {
		return
	}
	if c.settled != nil && body.Arrived > c.settled.arrived {
		c.advance(c.settled.at)
	}
	if body.Missing > 0 {
		c.advance(now)
	}
	c.settled = &arrivalSample{at: now, arrived: body.Arrived}
}

// addSample adds a sample, unless the last one is recent. The caller holds mu.
func (c *ArrivalClock) addSample(now time.Time, arrived int64) {
	last := len(c.samples) - 1
	if c.complete || last >= 0 && now.Sub(c.samples[last].at) < sampleInterval {
		return
	}
	if len(c.samples) == maxSamples {
		for i := range maxSamples / 2 {
			c.samples[i] = c.samples[2*i]
		}
		c.samples = c.samples[:maxSamples/2]
	}
	c.samples = append(c.samples, arrivalSample{at: now, arrived: arrived})
}

// advance moves the result to a later time. The caller holds mu.
func (c *ArrivalClock) advance(at time.Time) {
	if !c.complete && at.After(c.earliest) {
		c.earliest = at
	}
}
