package standin

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// ExchangeOutcome is the outcome of an exchange as the client saw it.
type ExchangeOutcome int

// The outcomes of exchanges.
const (
	ExchangeServed             ExchangeOutcome = iota // a complete response with status 200
	ExchangeRejected                                  // a complete response with status 429 or 503
	ExchangeFailed                                    // a complete response with any other status
	ExchangeTruncated                                 // part of a response, then the connection ended
	ExchangeClosed                                    // the connection ended before any byte of a response
	ExchangeTimedOut                                  // no byte of a response until responseGrace after the deadline
	ExchangeClientDisconnected                        // the client closed the connection before the response was complete
	ExchangeNotSent                                   // no connection, or the request was not written completely
)

// String returns the name of an outcome for reports.
func (e ExchangeOutcome) String() string {
	return [...]string{
		"served", "rejected", "failed", "truncated", "closed", "timed out", "client disconnected", "not sent",
	}[e]
}

// Exchange is a request that a client sent on one connection, and its outcome.
type Exchange struct {
	Request
	BeganAt    time.Time // before the client picks or opens a connection
	SentAt     time.Time // when the last byte of the request was written; zero if it was not
	EndedAt    time.Time
	Outcome    ExchangeOutcome
	Status     int  // of the response; 0 if no complete head of a response was received
	WrongBody  bool // the body of a response with status 200 is not the one for this request
	ReusedConn bool // the connection had been used for an earlier request
	Err        error
}

// setOutcome sets the outcome of an exchange without a complete response, and the error that led to it.
func (e *Exchange) setOutcome(outcome ExchangeOutcome, err error) { e.Outcome, e.Err = outcome, err }

// readResponse reads the response and sets the outcome. It reports whether the connection can be reused.
func (e *Exchange) readResponse(conn *clientConn) (reusable bool) {
	if _, err := conn.reader.Peek(1); err != nil {
		e.setOutcome(e.outcomeWithoutResponse(err), err)
		return false
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		e.setOutcome(e.outcomeOfPartialResponse(err), err)
		return false
	}
	e.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		e.setOutcome(e.outcomeOfPartialResponse(err), err)
		return false
	}
	e.Outcome = outcomeOfStatus(response.StatusCode)
	e.WrongBody = e.Outcome == ExchangeServed && !BodyMatches(body, e.TraceID)
	return !response.Close && conn.reader.Buffered() == 0
}

// outcomeOfStatus returns the outcome of an exchange with a complete response, by its status.
func outcomeOfStatus(status int) ExchangeOutcome {
	switch status {
	case http.StatusOK:
		return ExchangeServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ExchangeRejected
	}
	return ExchangeFailed
}

// outcomeWithoutResponse returns the outcome of an exchange without any byte of a response, by the error of the read.
func (e *Exchange) outcomeWithoutResponse(err error) ExchangeOutcome {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return ExchangeClosed
	case e.DisconnectAfter > 0:
		return ExchangeClientDisconnected
	}
	return ExchangeTimedOut
}

// hasDisconnected reports whether the time has come at which the client disconnects.
func (e *Exchange) hasDisconnected() bool {
	return e.DisconnectAfter > 0 && time.Since(e.SentAt) >= e.DisconnectAfter
}

// outcomeOfPartialResponse returns the outcome of an exchange with only part of a response, by the error of the read.
// If the deadline of the read passes, the client disconnects, as the response may never end. Within a head, package net/http
// reports the incomplete line instead of the deadline.
func (e *Exchange) outcomeOfPartialResponse(err error) ExchangeOutcome {
	if errors.Is(err, os.ErrDeadlineExceeded) || e.hasDisconnected() {
		return ExchangeClientDisconnected
	}
	return ExchangeTruncated
}
