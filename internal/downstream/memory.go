package downstream

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/fault"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/socket"
)

// What connections and requests take in memory, in bytes.
const (
	// connBytes is what a connection takes with a short head: the buffers of net/http and the stack of its goroutine.
	connBytes = 20 << 10
	// connMemoryFraction is the largest fraction of the budget that connections may take.
	connMemoryFraction = 0.75
	// requestBytes is what a request takes while it awaits its response: the attempt's goroutine and its buffers, and
	// the first freeBodyBytes of the body.
	requestBytes = 16 << 10
	// uploadBytes is what a streamed body takes in addition: the goroutine that writes it, and its buffers.
	uploadBytes = 24 << 10
	// freeBodyBytes is the size up to which requestBytes contains the body.
	freeBodyBytes = 4 << 10
	// freeHeadBytes and freeHeadFields are the size of a head up to which connBytes and requestBytes contain it.
	freeHeadBytes  = 2 << 10
	freeHeadFields = 32
	// headByteFactor is how often a byte of a head is held: in its field, and in the request to the endpoint.
	headByteFactor = 2
	// headFieldBytes is what net/http takes for a field in addition to its bytes.
	headFieldBytes = 256
)

const (
	// minResponseTime is the least time before a client gives up at which a request stops to wait for memory. It allows the
	// rejection to reach the client.
	minResponseTime = 50 * time.Millisecond
	// refusalMargin is the time before a read deadline at which waiting for memory ends, so that the client gets a response.
	refusalMargin = 150 * time.Millisecond
	// lingerTime is how long a connection is kept after the response to a head that was not read completely. If it were
	// closed with unread bytes, the client might not get the response.
	lingerTime = 300 * time.Millisecond
)

// errNoMemory is the error of a request that is rejected because the process cannot hold it. No endpoint has seen it.
var errNoMemory = &exchange.RequestError{
	Status: http.StatusServiceUnavailable, Text: "refused, trying again is harmless",
}

// errHeadTooLarge is the error of a request with too many header lines.
var errHeadTooLarge = &exchange.RequestError{
	Status: http.StatusRequestHeaderFieldsTooLarge, Text: http1.ErrTooManyFields.Error(),
}

// MaxConns returns the largest number of connections for a budget of budgetBytes.
func MaxConns(budgetBytes int64) int {
	return int(min(float64(budgetBytes)*connMemoryFraction/connBytes, math.MaxInt32))
}

// headBytes returns what a head takes in memory beyond what every request may take.
func headBytes(bytes, fields int) int {
	return headByteFactor*max(0, bytes-freeHeadBytes) + headFieldBytes*max(0, fields-freeHeadFields)
}

// checkHead reserves memory for the part of a head that has arrived, before net/http parses it. It waits if there is none. It
// returns the error with which the request must be refused, or nil. readErr is the error of the read.
func (c *Conn) checkHead(readErr error) *exchange.RequestError {
	if readErr != nil {
		if errors.Is(readErr, http1.ErrTooManyFields) {
			return errHeadTooLarge
		}
		return nil
	}
	missing := headBytes(c.headSize()) - c.memory.Reserved(memory.Heads)
	if !c.memory.GrowBy(memory.Heads, missing, c.headDeadline()) {
		return errNoMemory
	}
	return nil
}

// headSize returns the size of the current head.
func (c *Conn) headSize() (bytes, fields int) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.scanner.HeadSize()
}

// headDeadline returns until when a head may wait for memory.
func (c *Conn) headDeadline() time.Time {
	startedAt, _ := c.scanner.Partial()
	if c.scanner.RequestsStarted.Load() <= 1 {
		startedAt = c.openedAt
	}
	return c.tracker.limitToShutdown(startedAt.Add(headTimeout - refusalMargin))
}

// refuseHead responds to a request whose head has not been read completely, and returns an error after which net/http closes
// the connection without a response of its own.
func (c *Conn) refuseHead(refusal *exchange.RequestError) error {
	c.record.setReason(reasonHeadRefused, refusal)
	if suppressed, allowed := c.tracker.refusalLogs.Allow(); allowed {
		bytes, fields := c.headSize()
		c.tracker.Log.Info("head refused", "status", refusal.Status, "error", refusal, "head_bytes", bytes, "fields", fields,
			"client", c.RemoteAddr().String(), "suppressed", suppressed)
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s\n",
		refusal.Status, http.StatusText(refusal.Status), refusal.Text)
	c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := socket.WriteConn(c.TCPConn, []byte(text), fault.Write); err == nil {
		c.CloseWrite()
		io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxHeaderBytes))
	}
	return net.ErrClosed
}

// limitToShutdown returns until when a request that has not been read completely may wait for memory, if not for a shutdown it
// may wait until deadline. Late in a shutdown, it must have its response before the process may be killed.
func (t *ConnTracker) limitToShutdown(deadline time.Time) time.Time {
	respondBy, late := t.State.Shutdown.Load().ResponseLimit(time.Now())
	if late && respondBy.Before(deadline) {
		return respondBy
	}
	return deadline
}

// memoryDeadline returns until when a request may wait for memory: as long as it can still be answered before its client gives
// up. remaining is how long the client waits for the response, and responseTime how long the response usually takes.
func (c *Conn) memoryDeadline(remaining, responseTime time.Duration) time.Time {
	deadline := c.tracker.limitToShutdown(time.Now().Add(remaining - max(responseTime, minResponseTime)))
	if limit := c.requestDeadline().Add(-refusalMargin); limit.Before(deadline) {
		return limit
	}
	return deadline
}
