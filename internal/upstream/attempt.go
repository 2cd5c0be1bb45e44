package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

// Attempt is one attempt of a request at an endpoint. The event loop creates it. The first group of fields does not
// change once Client.Do has been called, and may be read by any goroutine.
type Attempt struct {
	RequestID       balance.RequestID
	Number          int // within the request, from 0
	Endpoint        *Endpoint
	Message         *exchange.Message
	Deadline        time.Time     // when it is given up
	TimeAfterUpload time.Duration // for the response to a streamed request body, from its last byte on
	Context         context.Context
	Cancel          context.CancelFunc
	Observer        Observer
	LoopDone        <-chan struct{} // closed when the event loop ends

	// RequestDone is set by the event loop when the request has its final response: the attempt must not send any more.
	RequestDone atomic.Bool

	// The fields below are the event loop's: the goroutine of the attempt does not use them.

	SentAt        balance.Milliseconds // when it was sent, on the loop's clock
	StreamLatency balance.Milliseconds // from SentAt to the start of its streamed response; 0: it has none
	// NoRetry means that its request gets no other attempt: the response is too long to be forwarded before the
	// end of a shutdown, and that of another attempt would be too.
	NoRetry bool
}

// Observer follows an attempt. Its methods are called on the goroutines of the attempt, and must not block for long.
type Observer interface {
	// UploadSent is called when the last byte of a streamed request body was written to the endpoint.
	UploadSent(*Attempt)
	// ResponseStarted is called when the head of a successful response has come, but not its body.
	ResponseStarted(*Attempt, time.Time)
	// StreamStarted is called with a response whose body the observer reads from its Download.
	StreamStarted(*Attempt, *exchange.Response, time.Time)
}

// responseStarted notifies the observer that the head of a successful response has come.
func (a *Attempt) responseStarted() { a.Observer.ResponseStarted(a, time.Now()) }

// obsolete reports whether nobody waits for the attempt any more: nothing is sent for it then.
func (a *Attempt) obsolete() bool { return a.RequestDone.Load() || a.Context.Err() != nil }

// expired reports whether the deadline of the attempt has passed.
func (a *Attempt) expired() bool { return !time.Now().Before(a.Deadline) }

// mustNotSend reports whether the attempt must end before its first byte is sent.
func (a *Attempt) mustNotSend() bool { return a.Endpoint.Closed.Load() || a.obsolete() || a.expired() }

// setReadDeadline sets the deadline of the response. It guards against a cancellation that is lost because a new deadline
// replaces the past one that the cancellation has set, so that the attempt would go on until its deadline: a cancellation
// before the check is found by it, and one after the check sets its past deadline last.
func (a *Attempt) setReadDeadline(conn net.Conn, deadline time.Time) {
	conn.SetReadDeadline(deadline)
	if a.Context.Err() != nil {
		conn.SetReadDeadline(socket.PastDeadline)
	}
}

// earlier returns the earlier one of two points in time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
