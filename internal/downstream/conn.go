package downstream

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

var (
	// ErrSurplus means that bytes arrived after a request that awaits its response. Clients read its text.
	ErrSurplus = errors.New("more than the request that was announced")
	// ErrClientGone means that the client closed or reset its connection.
	ErrClientGone = errors.New("client closed its connection")
)

// readState is what Conn.Read does with the bytes of the client.
type readState int

const (
	// readRequests passes bytes on to net/http.
	readRequests readState = iota
	// readSurplus discards bytes: a complete request awaits its response.
	readSurplus
	// readFailed returns the framing error of the last request.
	readFailed
	// readClosing reads nothing: the connection is about to be closed.
	readClosing
)

// Conn is a connection of the application. net/http reads requests from it and writes responses to it.
//
// Conn counts requests and responses itself, because net/http considers a connection new or idle until it has parsed a
// complete head. Requests are numbered from 1 on each connection.
type Conn struct {
	*net.TCPConn
	tracker  *ConnTracker
	openedAt time.Time
	record   connRecord

	// requests counts the requests that reached the handler. Only the serving goroutine uses it.
	requests int64
	// uploading is set while a long body is being read after its request was passed on. Such a request does not count as
	// incomplete.
	uploading atomic.Bool

	// readMu guards the fields below. It makes a read and its effect on scanner one step, and so an examination of that
	// and the decision to close. Without it, any goroutine may read the atomic fields of scanner, the reading goroutine
	// scanner.Err, and the serving goroutine scanner.Chunked.
	readMu            sync.Mutex
	scanner           http1.RequestScanner
	closing           bool  // decided to close: nothing is read any more
	awaitingResponse  bool  // a complete request awaits its response
	responsesDecided  int64 // the number of the last request whose response was decided
	responsesFinished int64 // responses that were written completely
	surplusBytes      int   // bytes that were discarded while a response was awaited

	// tracker.mu guards the fields below.
	queue    *list.List    // the queue that the connection is in; nil once it is to be closed
	position *list.Element // in queue
	closed   bool
}

// readState returns what a read has to do. The caller holds readMu.
func (c *Conn) readState() readState {
	switch {
	case c.closing:
		return readClosing
	case c.scanner.Err != nil:
		return readFailed
	case c.awaitingResponse:
		return readSurplus
	}
	return readRequests
}

// markClosing decides to close the connection if mayClose returns true and no bytes wait to be read, and reports
// whether it did. mayClose is called while readMu is locked. After that no byte is read, so that any request that still
// arrives is one that was not read, which the client may repeat.
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

// markClosingWithoutRequest is markClosing for a connection without a complete request.
func (c *Conn) markClosingWithoutRequest() bool {
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

// lastActivity returns when the last byte arrived, or when the connection was accepted if none has.
func (c *Conn) lastActivity() time.Time {
	if at, any := c.scanner.LastByteAt(); any {
		return at
	}
	return c.openedAt
}

// AwaitResponse records that the request with this number is complete and awaits its response. Later bytes are surplus:
// the application sends one request at a time, so they mean that the length of the request is wrong or that it hides
// another one.
//
// AwaitResponse returns exchange.ErrAbandoned if the response has been decided already, ErrSurplus if bytes have
// arrived after the request, and ErrClientGone if the client has closed its connection. Any goroutine may call it.
func (c *Conn) AwaitResponse(number int64) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.responsesDecided >= number {
		return exchange.ErrAbandoned
	}
	state := socket.Peek(c.TCPConn)
	if c.surplusBytes > 0 || c.scanner.Started.Load() > number || state == socket.Readable {
		return ErrSurplus
	}
	if state == socket.Closed {
		return ErrClientGone
	}
	c.awaitingResponse = true
	return nil
}

// decideResponse records that the response to the current request is about to be written. From now on, bytes belong to
// the next request. It reports whether bytes have arrived after the current one: the connection has to end with the
// response then. Only the serving goroutine may call it.
func (c *Conn) decideResponse() (surplus bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.awaitingResponse = false
	c.responsesDecided = c.requests
	if c.surplusBytes > 0 || c.scanner.Started.Load() > c.requests {
		return true
	}
	return socket.Peek(c.TCPConn) == socket.Readable
}

// finishResponse records that a response was written completely.
func (c *Conn) finishResponse() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.responsesFinished++
}

// countRequest counts a request that reached the handler. Only the serving goroutine may call it.
func (c *Conn) countRequest() { c.requests++ }

// requestDeadline returns the read deadline that http.Server has set for the current request. Only the serving
// goroutine may call it.
func (c *Conn) requestDeadline() time.Time {
	began := c.openedAt
	if c.requests > 1 {
		began, _ = c.scanner.Partial()
	}
	return began.Add(readTimeout)
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := socket.WriteConn(c.TCPConn, data, fault.Write)
	if err != nil {
		c.record.writeFailed(err)
	}
	return n, err
}

// closeFor closes the connection because of a decision of this side.
func (c *Conn) closeFor(reason closeReason) {
	c.record.explain(reason, nil)
	c.Close()
}

// Close closes the connection and removes it from its tracker. It may be called more than once.
func (c *Conn) Close() error {
	if c.tracker.remove(c) {
		c.record.logClose(c.tracker.Log, c.RemoteAddr().String())
	}
	return c.TCPConn.Close()
}
