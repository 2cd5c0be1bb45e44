package downstream

import (
	"time"

	"cindersaddle/internal/socket"
)

// markClosing marks the connection as closing if mayClose returns true and no bytes are waiting to be read. It reports
// whether it did; the caller must then close the connection. mayClose is called with readMu locked.
//
// This prevents the loss of a request that is read just before the close: its client may not retry it, because it could
// have been executed. No byte is read from a connection that is marked: a request that still arrives is never executed,
// and its client sees the connection closed without a response.
func (c *Conn) markClosing(mayClose func() bool) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closing || !mayClose() {
		return false
	}
	if state := socket.Peek(c.TCPConn); state == socket.Readable || state == socket.Unknown {
		return false
	}
	c.closing = true
	return true
}

// markClosingIfNoRequest marks the connection as closing if no complete request is open on it; see markClosing.
func (c *Conn) markClosingIfNoRequest() bool {
	return c.markClosing(func() bool { return c.betweenRequests() || c.requestIncomplete() })
}

// markClosingIfStalled marks the connection as closing if its request is incomplete and its client has been silent for
// SilenceGracePeriod, also during an upload; see markClosing.
func (c *Conn) markClosingIfStalled(now time.Time) bool {
	return c.markClosing(func() bool { return c.stalled(now) })
}

// stalled reports whether only part of a request has been read, and no byte has arrived for SilenceGracePeriod.
func (c *Conn) stalled(now time.Time) bool {
	_, partial := c.scanner.Partial()
	return partial && now.Sub(c.lastActivity()) >= SilenceGracePeriod
}

// betweenRequests reports whether no byte has been read since the last response, or since the connection was accepted
// if there was none. The caller holds readMu.
func (c *Conn) betweenRequests() bool {
	return c.scanner.RequestsStarted.Load() <= c.responsesFinished
}

// requestIncomplete reports whether only part of a request has been read and the request is not being uploaded.
func (c *Conn) requestIncomplete() bool {
	_, partial := c.scanner.Partial()
	return partial && !c.uploading.Load()
}
