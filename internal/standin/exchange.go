package standin

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// ExchangeEnd is how a request ended as its client saw it.
type ExchangeEnd int

// The ends of exchanges.
const (
	ExchangeServed             ExchangeEnd = iota // a complete response with status 200
	ExchangeRejected                              // a complete response with status 429 or 503
	ExchangeFailed                                // a complete response with any other status
	ExchangeTruncated                             // part of a response, then the end of the connection
	ExchangeClosed                                // the end of the connection without any byte of a response
	ExchangeTimedOut                              // no byte until responseGrace after the deadline
	ExchangeClientDisconnected                    // the client closed the connection first
	ExchangeNotSent                               // the request was not written completely
)

// String returns the name of an end for reports.
func (e ExchangeEnd) String() string {
	return [...]string{"served", "rejected", "failed", "truncated", "closed", "timed out", "client left", "not sent"}[e]
}

// Exchange is a request that a client sent on one connection, and how it ended.
type Exchange struct {
	Request
	BeganAt    time.Time // before a connection was chosen
	SentAt     time.Time // when its last byte was written; zero: it was not
	EndedAt    time.Time
	End        ExchangeEnd
	Status     int  // of the response; 0: no head of a response came
	WrongBody  bool // the body is not the one of this request
	ReusedConn bool // the connection had carried an earlier request
	Err        error
}

// fail records an end with its error.
func (e *Exchange) fail(end ExchangeEnd, err error) { e.End, e.Err = end, err }

// readResponse reads the response and records the end. It reports whether the connection can be used again.
func (e *Exchange) readResponse(conn *clientConn) (reusable bool) {
	if _, err := conn.reader.Peek(1); err != nil {
		e.fail(e.endWithoutResponse(err), err)
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		e.fail(endOfPartialResponse(err), err)
		return false
	}
	e.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		e.fail(endOfPartialResponse(err), err)
		return false
	}
	e.End = endOfResponse(response.StatusCode)
	e.WrongBody = e.End == ExchangeServed && !BodyMatches(body, e.TraceID)
	return !response.Close && conn.reader.Buffered() == 0
}

// endOfResponse returns how an exchange with a complete response ended.
func endOfResponse(status int) ExchangeEnd {
	switch status {
	case http.StatusOK:
		return ExchangeServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ExchangeRejected
	}
	return ExchangeFailed
}

// endWithoutResponse returns how an exchange ended that got no byte of a response, by the error of the read.
func (e *Exchange) endWithoutResponse(err error) ExchangeEnd {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return ExchangeClosed
	case e.LeaveAfter > 0:
		return ExchangeClientDisconnected
	}
	return ExchangeTimedOut
}

// endOfPartialResponse returns how an exchange ended that got only part of a response, by the error of the read. A client that
// waits for a response without end gives up.
func endOfPartialResponse(err error) ExchangeEnd {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ExchangeClientDisconnected
	}
	return ExchangeTruncated
}
