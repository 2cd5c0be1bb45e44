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

const (
	// deliveryTime is how long bytes may take from one process to another on the same machine.
	deliveryTime = 20 * time.Millisecond
	// minRetransmission is the shortest time after which TCP sends bytes again.
	minRetransmission = 200 * time.Millisecond
	// backoffFactor is the factor by which that time grows with each attempt.
	backoffFactor = 2
)

// ArrivalClock determines when the client of an upload may have written the last byte at the earliest. The time limit of the
// request counts from then, but the byte may be read much later: while the endpoint accepts nothing, the body waits in the
// receive buffer of the sidecar and in the send buffer of the client, where the sidecar does not see it.
//
// The last byte was certainly not written
//   - while more bytes were missing than the send buffer of the client can hold, whether the length of the body is known or
//     they have arrived since;
//   - at the end of a time in which the receive buffer was empty and the body not complete, or in which the client could send and
//     bytes were missing, which is known from the length of the body, or because more have arrived since.
//
// Such a time must be long enough for the bytes in the send buffer to arrive: see settleTime.
//
// Start must be called first. The type is safe for concurrent use.
type ArrivalClock struct {
	SendBuffer int64 // size of the largest send buffer of a client, in bytes; set before use

	mu          sync.Mutex
	earliest    time.Time
	complete    bool
	samples     []arrivalSample // oldest first
	closedSince time.Time       // when the receive buffer filled up; zero: it has settled since then
	closedUntil time.Time       // when it was last found full
	openSince   time.Time       // since when the client can send; zero: it could not at the last observation
	outOfOrder  uint32          // Arrivals.OutOfOrder of the last observation
	hole        bool            // dropped segments have not arrived since then
	arrived     int64           // Arrivals.Arrived of the last observation
	settled     *arrivalSample  // last observation at which openSince was settleTime ago; nil: none since it was closed
}

// Arrivals is what is known about a body at a time.
type Arrivals struct {
	Arrived    int64 // bytes that have arrived, in any way of counting that only grows
	Missing    int64 // bytes that have not arrived, or http1.UnknownLength
	WindowOpen bool  // the receive buffer has so much room that the client can send all that it writes
	// OutOfOrder counts segments that arrived before earlier ones, which were dropped for lack of room. The client sends those
	// again some time later.
	OutOfOrder uint32
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

// Start records that the last byte was not written before emptyAt, and that nobody has observed what arrived between emptyAt and
// now.
func (c *ArrivalClock) Start(emptyAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(emptyAt)
	if now.Sub(emptyAt) >= deliveryTime {
		c.closedSince, c.closedUntil = emptyAt, now
	}
}

// NoteEmpty records that the receive buffer was empty from a time until another one, and that the body was not complete.
func (c *ArrivalClock) NoteEmpty(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.Sub(from) >= c.settleTime() {
		c.advance(until)
	}
}

// NoteWait records that the client had to be waited for until the given time, if nothing else is known.
func (c *ArrivalClock) NoteWait(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(until)
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
	c.observeHole(body)
	if !body.WindowOpen || c.hole {
		if c.closedSince.IsZero() {
			c.closedSince = now
		}
		c.closedUntil, c.openSince, c.settled = now, time.Time{}, nil
		return
	}
	if c.openSince.IsZero() {
		c.openSince = now
	}
	if now.Sub(c.openSince) < c.settleTime() {
		return
	}
	c.closedSince, c.closedUntil = time.Time{}, time.Time{}
	if c.settled != nil && body.Arrived > c.settled.arrived {
		c.advance(c.settled.at)
	}
	if body.Missing > 0 {
		c.advance(now)
	}
	c.settled = &arrivalSample{at: now, arrived: body.Arrived}
}

// observeHole determines whether dropped segments are missing. They have arrived when more bytes have, in order, without any new
// drop. The caller holds mu.
func (c *ArrivalClock) observeHole(body Arrivals) {
	if body.OutOfOrder != c.outOfOrder {
		c.hole = true
	} else if body.Arrived > c.arrived {
		c.hole = false
	}
	c.outOfOrder, c.arrived = body.OutOfOrder, body.Arrived
}

// settleTime returns how long bytes may take from the send buffer of the client to the receive buffer, once there is room: hardly
// any time, unless the receive buffer was full. The kernel drops bytes then, and the client sends them again after times that
// double with each attempt. The caller holds mu.
func (c *ArrivalClock) settleTime() time.Duration {
	if c.closedSince.IsZero() {
		return deliveryTime
	}
	return minRetransmission + backoffFactor*c.closedUntil.Sub(c.closedSince)
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
