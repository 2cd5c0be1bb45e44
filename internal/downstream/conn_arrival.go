package downstream

import (
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

// openWindowBytes is the number of unread bytes up to which the client can certainly send: the kernel shows it a window of several
// times as much from the beginning.
const openWindowBytes = 16 << 10

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
	upload.Arrival.NoteEmpty(emptyAt)
	c.upload = upload
}

// endArrival ends the observation of an upload.
func (c *Conn) endArrival() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.upload = nil
}

// noteEmpty records that the receive buffer was empty for exchange.SettleTime until the given time.
func (c *Conn) noteEmpty(at time.Time) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.emptyAt = at
	if c.upload != nil {
		c.upload.Arrival.NoteEmpty(at)
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
	unread, err := socket.Unread(c.TCPConn)
	if err != nil {
		return // what has arrived is not known: the earlier result stays
	}
	missing := c.scanner.BodyMissing()
	if missing >= 0 {
		missing = max(0, missing-int64(unread))
	}
	c.upload.Arrival.Observe(now, exchange.Arrivals{
		Arrived:    c.bytesRead + int64(unread),
		Missing:    missing,
		WindowOpen: unread <= openWindowBytes,
	})
}
