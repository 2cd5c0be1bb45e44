package soak

import (
	"errors"
	"io"
	"time"

	"cindersaddle/internal/standin"
)

const (
	// lateResponseSlack is how long after the deadline a response may come.
	lateResponseSlack = 500 * time.Millisecond
	// closeRaceWindow is how long a request may take to a sidecar that closes the connection meanwhile and does not read it.
	closeRaceWindow = 25 * time.Millisecond
)

// checkResponses checks RuleResponse: each request that a sidecar has read gets one complete response of its own.
//
// It holds from the first byte of the request to its deadline. A response other than 200 may come lateResponseSlack later, as
// the sidecar notices the deadline by a timer on a busy machine; a response with 200 may be long, and is given up by the client.
// Excused are a process that is killed without SIGTERM, a response that the endpoint or the network broke, and a connection
// that the sidecar closes before it has read the request.
func (j *judge) checkResponses() {
	for i := range j.Exchanges {
		j.checkResponse(&j.Exchanges[i])
	}
}

func (j *judge) checkResponse(e *Exchange) {
	switch e.End {
	case standin.ExchangeServed, standin.ExchangeRejected, standin.ExchangeFailed:
		j.checkCompleteResponse(e)
	case standin.ExchangeTimedOut:
		if !j.processKilled(e) {
			j.report(RuleResponse, e.TraceID, "no response")
		}
	case standin.ExchangeTruncated:
		if !j.processKilled(e) && !j.responseBroken(e.TraceID) {
			j.report(RuleResponse, e.TraceID, "truncated response, though no endpoint or network broke it: %v", e.Err)
		}
	case standin.ExchangeClosed:
		if !j.processKilled(e) && j.wasRead(e) {
			j.report(RuleResponse, e.TraceID, "the connection was closed without a response: %v", e.Err)
		}
	}
}

func (j *judge) checkCompleteResponse(e *Exchange) {
	if e.WrongBody {
		j.report(RuleResponse, e.TraceID, "response to another request")
	}
	late := e.EndedAt.Sub(e.SentAt) - e.Deadline
	if e.End != standin.ExchangeServed && late > lateResponseSlack+recordSlack {
		j.report(RuleResponse, e.TraceID, "response %v after the deadline", late)
	}
}

// wasRead reports whether a sidecar had read a request whose connection it closed: an endpoint received it before that (later, it
// may be the client's repetition), or the connection ended without a reset, well after the request was written.
func (j *judge) wasRead(e *Exchange) bool {
	for _, attempt := range j.attempts[e.TraceID] {
		if attempt.FirstByteAt.Before(e.EndedAt) {
			return true
		}
	}
	return errors.Is(e.Err, io.EOF) && e.EndedAt.Sub(e.SentAt) > closeRaceWindow
}
