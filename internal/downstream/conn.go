package downstream

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/socket"
)

// Conn is a connection of a client. net/http reads requests from it and writes responses to it.
//
// Conn counts requests and responses itself. That guards against closing a connection on which a request has arrived:
// net/http considers it new or idle until it has parsed a complete head. Requests are numbered from 1 on each connection.
type Conn struct {
	*net.TCPConn
	tracker  *ConnTracker
	openedAt time.Time
	record   connRecord

	// requests counts the requests that reached the handler. Only the serving goroutine uses it.
	requestCount int64
	// uploading is set while a long body is being read after its request was passed on. Such a request does not count as
	// incomplete.
	uploading atomic.Bool

	// readMu guards the fields below. It makes a read and its effect on scanner one step, and so an examination of that
	// and the decision to close. Not guarded are the atomic fields of scanner, which any goroutine may read, scanner.Err
	// for the reading goroutine, and scanner.Chunked for the serving one.
	readMu            sync.Mutex
	scanner           http1.RequestScanner
	closing           bool  // decided to close: nothing is read any more
	awaitingResponse  bool  // a complete request awaits its response
	responsesStarted  int64 // the number of the last request whose response was decided
	responsesFinished int64 // responses that were written completely
	trailingBytes     int   // bytes that were discarded while a response was awaited

	// tracker.mu guards the fields below.
	queue        *list.List    // the queue that the connection is in; nil once it is to be closed
	queueElement *list.Element // in queue
	closed       bool
}

// lastActivity returns when the last byte arrived, or when the connection was accepted if none has.
func (c *Conn) lastActivity() time.Time {
	if at, any := c.scanner.LastByteAt(); any {
		return at
	}
	return c.openedAt
}

// countRequest counts a request that reached the handler. Only the serving goroutine may call it.
func (c *Conn) countRequest() { c.requestCount++ }

// requestDeadline returns the read deadline that http.Server has set for the current request. Only the serving
// goroutine may call it.
func (c *Conn) requestDeadline() time.Time {
	began := c.openedAt
	if c.requestCount > 1 {
		began, _ = c.scanner.Partial()
	}
	return began.Add(readTimeout)
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := socket.WriteConn(c.TCPConn, data, fault.Write)
	if err != nil {
		c.record.setWriteError(err)
	}
	return n, err
}

// closeWithReason closes the connection because of a decision of this side.
func (c *Conn) closeWithReason(reason closeReason) {
	c.record.setReason(reason, nil)
	c.Close()
}

// Close closes the connection and removes it from its tracker. It may be called more than once.
func (c *Conn) Close() error {
	if c.tracker.remove(c) {
		c.record.logIfIncomplete(c.tracker.Log, c.RemoteAddr().String())
	}
	return c.TCPConn.Close()
}
