package downstream

import (
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

const (
	// openUnreadBytes is the number of unread bytes up to which the client can certainly send, if the kernel is not short of
	// memory: it announces a window of several times as much from the beginning.
	openUnreadBytes = 16 << 10
	// openWindowBytes is the announced window from which on the client can send.
	openWindowBytes = 32 << 10
)

// startArrival starts to determine when the client may have written the last byte of the upload of the current request.
func (c *Conn) startArrival(upload *exchange.Upload) {
	upload.Arrival.SendBuffer = socket.MaxSendBuffer()
	upload.ObserveArrival = c.observeArrival
	c.readMu.Lock()
	defer c.readMu.Unlock()
	emptyAt := c.emptyAt
	if emptyAt.IsZero() {
		emptyAt = c.openedAt
	}
	upload.Arrival.Start(emptyAt, time.Now())
	c.upload = upload
}

// endArrival ends the observation of an upload.
func (c *Conn) endArrival() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.upload = nil
}

// windowOpen reports whether the client can send all that it writes. The caller holds readMu.
func (c *Conn) windowOpen(queue socket.ReceiveQueue) bool {
	c.windowKnown = c.windowKnown || queue.Window > 0
	return queue.Unread <= openUnreadBytes && (queue.Window >= openWindowBytes || !c.windowKnown)
}

// noteEmpty records that the receive buffer was empty from a time until another one. If the kernel does not say what has arrived,
// any time counts: without other information, a client that writes in small pieces would seem to have ended.
func (c *Conn) noteEmpty(from, until time.Time) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.emptyAt = until
	switch {
	case c.upload == nil:
	case c.arrivalUnknown:
		c.upload.Arrival.NoteWait(until)
	default:
		c.upload.Arrival.NoteEmpty(from, until)
	}
}

// observeArrival records how much of the upload has arrived by now.
func (c *Conn) observeArrival() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.observeArrivalLocked(time.Now())
}

// observeArrivalLocked is observeArrival for a caller that holds readMu.
func (c *Conn) observeArrivalLocked(now time.Time) {
	if c.upload == nil {
		return
	}
	queue, err := socket.ReceiveQueueOf(c.TCPConn)
	c.arrivalUnknown = err != nil
	if err != nil {
		return // the earlier result stays
	}
	missing := c.scanner.BodyMissing()
	if missing >= 0 {
		missing = max(0, missing-int64(queue.Unread))
	}
	c.upload.Arrival.Observe(now, exchange.Arrivals{
		Arrived:    c.bytesRead + int64(queue.Unread),
		Missing:    missing,
		WindowOpen: c.windowOpen(queue),
		OutOfOrder: queue.OutOfOrder,
	})
}
