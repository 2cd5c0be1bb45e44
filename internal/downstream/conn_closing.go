package downstream

import "cindersaddle/internal/socket"

// markClosing decides to close the connection if mayClose returns true and no bytes wait to be read, and reports
// whether it did. mayClose is called while readMu is locked.
//
// It guards against the loss of a request that was read just before the close, which its client may not retry, as it could
// have been executed. No byte is read after the decision: a request that still arrives was never read, and the client sees
// its connection closed without a response.
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

// markClosingIfNoRequest is markClosing for a connection without a complete request.
func (c *Conn) markClosingIfNoRequest() bool {
	return c.markClosing(func() bool { return c.betweenRequests() || c.requestIncomplete() })
}

// betweenRequests reports whether no byte of a request was read since the last response. The caller holds readMu.
func (c *Conn) betweenRequests() bool {
	return c.scanner.Started.Load() <= c.responsesFinished
}

// requestIncomplete reports whether a request was read in part, and is not being uploaded.
func (c *Conn) requestIncomplete() bool {
	_, partial := c.scanner.Partial()
	return partial && !c.uploading.Load()
}
