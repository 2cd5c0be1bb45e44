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

// Attempt is one attempt of a request at an endpoint. The event loop creates it. The fields of the first group do not
// change after Client.Do has been called, and any goroutine may read them.
type Attempt struct {
	RequestID         balance.RequestID
	Number            int // index within the request, starting at 0
	Endpoint          *Endpoint
	Message           *exchange.Message
	Deadline          time.Time     // when the attempt times out
	SendBy            time.Time     // when the endpoint must have received the complete request; zero: no limit
	PostUploadTimeout time.Duration // maximum time from the last byte of a streamed request body to the response
	Context           context.Context
	Cancel            context.CancelFunc
	Observer          Observer
	LoopDone          <-chan struct{}         // closed when the event loop ends
	Lengths           *exchange.LengthHistory // of the request's class; nil: none
	// Shutdown holds the time limits of a shutdown, or nil before it begins.
	Shutdown *atomic.Pointer[exchange.ShutdownTimes]

	// RequestDone is set by the event loop when the request has its final response: the attempt must send nothing more.
	RequestDone atomic.Bool

	requestWritten  atomic.Bool               // the kernel has accepted the last byte of the request
	uploadSentAt    atomic.Pointer[time.Time] // when the last byte of a streamed request body was written; nil before
	responseStarted atomic.Bool               // the head of a successful response has arrived
	readerSetsLimit atomic.Bool               // the reader of the response sets its deadlines, also when one has expired
	withdrawn       atomic.Bool               // the endpoint had not received the complete request at SendBy

	// The event loop owns the fields below. The goroutine of the attempt does not use them.

	SentAt        balance.Milliseconds // when the attempt was started, on the event loop's clock
	StreamLatency balance.Milliseconds // from SentAt to the start of its streamed response; 0 if there is none
	// NoRetry means that the request must not get another attempt: the response is too long to be forwarded before the
	// end of a shutdown, and the response to another attempt would be too long as well.
	NoRetry bool
}

// UnknownQueueLength is the length of a send queue that could not be read.
const UnknownQueueLength = -1

// SentUpload describes a streamed request body whose last byte the kernel has accepted.
type SentUpload struct {
	At             time.Time // just before the last byte was written
	Unacknowledged int       // bytes that the endpoint's machine had not acknowledged after the write, or UnknownQueueLength
}

// StartedResponse describes a response with status 200 whose head has arrived, but not its complete body.
type StartedResponse struct {
	At            time.Time // when the head arrived
	LengthUnknown bool      // the endpoint has not declared the length of the body
}

// Observer is notified of the progress of an attempt. The goroutines of the attempt call its methods, which must not block
// for long.
type Observer interface {
	// UploadSent is called when the last byte of a streamed request body was written to the endpoint.
	UploadSent(attempt *Attempt, sent SentUpload)
	// ResponseStarted is called when the head of a successful response has arrived, but not its complete body.
	ResponseStarted(attempt *Attempt, response StartedResponse)
	// StreamStarted is called with a streamed response, whose head and first bytes had arrived at startedAt. The
	// observer must ensure that its Download is read until the end or that Download.Finish is called.
	StreamStarted(attempt *Attempt, response *exchange.Response, startedAt time.Time)
}

// notifyResponseStarted notifies the observer that the head of a successful response has arrived.
func (a *Attempt) notifyResponseStarted(length int64) {
	a.responseStarted.Store(true)
	a.Observer.ResponseStarted(a, StartedResponse{At: time.Now(), LengthUnknown: length < 0})
}

// RequestWritten reports whether the kernel has accepted the last byte of the request. Any goroutine may call it.
func (a *Attempt) RequestWritten() bool { return a.requestWritten.Load() }

// ResponseStarted reports whether the head of a successful response has arrived before its body was complete. Any goroutine
// may call it.
func (a *Attempt) ResponseStarted() bool { return a.responseStarted.Load() }

// obsolete reports whether nothing more may be sent for the attempt: its result is no longer needed, or it was withdrawn.
func (a *Attempt) obsolete() bool { return a.RequestDone.Load() || a.interrupted() }

// interrupted reports whether the attempt was cancelled or withdrawn.
func (a *Attempt) interrupted() bool { return a.withdrawn.Load() || a.Context.Err() != nil }

// responseDeadline returns when the response must have arrived, or its first byte if it is streamed.
func (a *Attempt) responseDeadline() time.Time {
	if sentAt := a.uploadSentAt.Load(); sentAt != nil {
		return earlier(a.Deadline, sentAt.Add(a.PostUploadTimeout))
	}
	return a.Deadline
}

// requestDeadline returns when the time of the request ends. While the endpoint has not accepted all of a streamed request body,
// that is not known exactly: it counts from when the client may have written the last byte at the earliest.
func (a *Attempt) requestDeadline() time.Time {
	if upload := a.Message.Upload; upload != nil && a.uploadSentAt.Load() == nil {
		return earlier(a.Deadline, upload.EarliestLastByte().Add(a.PostUploadTimeout))
	}
	return a.responseDeadline()
}

// finalDeadline returns when the request must have its final response, if what it is can only be decided after its time, which
// ends at deadline: balance.LateResponseGrace later, but in a shutdown no later than late requests have it.
func (a *Attempt) finalDeadline(deadline time.Time) time.Time {
	late := deadline.Add(balance.LateResponseGrace.Duration())
	if times := a.Shutdown.Load(); times != nil && times.RespondBy.Before(late) {
		return later(deadline, times.RespondBy)
	}
	return late
}

// mustNotSend reports whether the attempt must end without sending its first byte.
func (a *Attempt) mustNotSend() bool {
	return a.Endpoint.Closed.Load() || a.obsolete() || a.tooLateToSend()
}

// setReadDeadline sets the deadline for reading the response. A cancellation, or sendLimit, interrupts the attempt by
// setting a past deadline. If the new deadline replaced the past one, the cancellation would be lost and the attempt would continue
// until its deadline. The check below therefore sets the past deadline again if the attempt is already cancelled; a
// later cancellation replaces the new deadline itself.
func (a *Attempt) setReadDeadline(conn net.Conn, deadline time.Time) {
	conn.SetReadDeadline(deadline)
	if a.interrupted() {
		conn.SetReadDeadline(socket.PastDeadline)
	}
}

// later returns the later of two points in time.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two points in time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
