package downstream

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/socket"
)

// Conn is a connection of a client. net/http reads requests from it and writes responses to it.
//
// Conn counts requests and responses itself, so that no connection is closed on which a request has arrived: net/http
// considers the connection new or idle until it has parsed a complete request head. The requests of a connection are
// numbered from 1.
type Conn struct {
	*net.TCPConn
	tracker  *ConnTracker
	memory   *memory.Reservation // of the connection and the heads on it
	openedAt time.Time
	record   connRecord

	// requestNumber is the number of the current or last request that reached the HTTP handler; 0 before the first one.
	// Only the serving goroutine uses it.
	requestNumber int64
	// uploading is true while the handler serves a request with an upload. Such a request is passed on before its body
	// is complete, so it does not count as incomplete.
	uploading atomic.Bool
	// streaming is true from the start of a streamed response to the next request. Its client may read slowly.
	streaming atomic.Bool
	// lingeringSince is when the sidecar has sent its last byte: nil before that. The connection is then kept for a while, so
	// that a client that is still sending gets the response.
	lingeringSince atomic.Pointer[time.Time]

	// readMu guards the fields below. A read and the update of scanner are one critical section, and so are a check of
	// scanner and the decision to close the connection. Exceptions: the atomic fields of scanner may be read by any
	// goroutine, scanner.Err by the reading goroutine and scanner.Chunked by the serving goroutine.
	readMu               sync.Mutex
	scanner              http1.RequestScanner
	closing              bool             // the connection is about to be closed; nothing more is read from it
	awaitingResponse     bool             // a complete request awaits its response
	lastRespondedRequest int64            // number of the last request whose response was started; see startResponse
	responsesFinished    int64            // count of responses that were written completely
	trailingBytes        int              // bytes that were discarded while a request awaited its response
	bytesRead            int64            // bytes that were read and passed on to net/http
	emptyAt              time.Time        // until when the receive buffer was last empty; zero: never
	windowKnown          bool             // the kernel has said which window the client sees
	arrivalUnknown       bool             // the kernel does not say how many bytes are unread
	upload               *exchange.Upload // the upload of the current request, or nil

	// tracker.mu guards the fields below.
	queue        *list.List    // the queue that the connection is in; nil once the connection is about to be closed
	queueElement *list.Element // the connection's element in queue
	closed       bool
}

// lastActivity returns when the last byte arrived, or when the connection was accepted if no byte has arrived.
func (c *Conn) lastActivity() time.Time {
	if at, received := c.scanner.LastByteAt(); received {
		return at
	}
	return c.openedAt
}

// countRequest counts a request that reached the HTTP handler. Only the serving goroutine may call it.
func (c *Conn) countRequest() {
	c.requestNumber++
	c.streaming.Store(false)
}

// requestDeadline returns the read deadline that http.Server has set for the current request. It counts from the accept
// for the first request of a connection, and from the first byte for later requests. Only the serving goroutine may
// call it.
func (c *Conn) requestDeadline() time.Time {
	startedAt := c.openedAt
	if c.requestNumber > 1 {
		startedAt, _ = c.scanner.Partial()
	}
	return startedAt.Add(readTimeout)
}

// Write implements net.Conn. During a streamed response, it sets the write deadline itself; net/http removes that deadline
// after each response.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.write(data)
	if err != nil {
		c.record.setWriteError(err)
	}
	return n, err
}

// write writes the bytes of a response. The client of a streamed response has clientStallTimeout to read a byte.
func (c *Conn) write(data []byte) (int, error) {
	if c.streaming.Load() {
		return socket.WriteWithStallLimit(c.TCPConn, data, fault.Write, socket.StallLimit{Timeout: clientStallTimeout})
	}
	return socket.WriteConn(c.TCPConn, data, fault.Write)
}

// CloseWrite ends the sending side of the connection after its last response.
func (c *Conn) CloseWrite() error {
	now := time.Now()
	c.lingeringSince.Store(&now)
	return c.TCPConn.CloseWrite()
}

// lingeredLong reports whether the client has had lingerGracePeriod to read the last response.
func (c *Conn) lingeredLong(now time.Time) bool {
	since := c.lingeringSince.Load()
	return since != nil && now.Sub(*since) >= lingerGracePeriod
}

// closeWithReason closes the connection and records why the sidecar does so.
func (c *Conn) closeWithReason(reason closeReason) {
	c.record.setReason(reason, nil)
	c.Close()
}

// Close closes the connection and removes it from its tracker. It may be called repeatedly.
func (c *Conn) Close() error {
	if c.tracker.remove(c) {
		c.memory.Release()
		c.record.logIfIncomplete(c.tracker.Log, c.RemoteAddr().String())
	}
	return c.TCPConn.Close()
}
