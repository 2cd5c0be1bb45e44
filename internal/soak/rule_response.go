package soak

import (
	"errors"
	"io"
	"time"

	"cindersaddle/internal/standin"
)

const (
	// lateResponseSlack is how long after the deadline a response may arrive.
	lateResponseSlack = 500 * time.Millisecond
	// closeRaceWindow is the time after a request was sent in which the sidecar may close the connection without
	// having read the request, because the request and the close cross on the way.
	closeRaceWindow = 25 * time.Millisecond
)

// checkResponses checks RuleResponse: each request that a sidecar has read gets one complete response, and that is the
// response to this request.
//
// The rule applies from the first byte of the request until its deadline. A response with a status other than 200 may
// arrive up to lateResponseSlack later, because the sidecar detects the deadline by a timer on a busy machine. A
// response with status 200 may be long; the rule does not limit its time, because the client gives up on it itself.
//
// The rule does not apply if the process was killed without SIGTERM, if the endpoint or the network broke the response,
// if it was a long response to an early request and the process was killed at the end of a shutdown, or if the sidecar closed the connection before it had read the request.
func (j *judge) checkResponses() {
	for i := range j.Exchanges {
		j.checkResponse(&j.Exchanges[i])
	}
}

func (j *judge) checkResponse(e *Exchange) {
	switch e.Outcome {
	case standin.ExchangeServed, standin.ExchangeRejected, standin.ExchangeFailed:
		j.checkCompleteResponse(e)
	case standin.ExchangeTimedOut:
		if !j.processKilled(e) {
			j.report(RuleResponse, e.TraceID,
				"got no response within %v after the request was sent, want one within its deadline of %v plus %v",
				e.EndedAt.Sub(e.SentAt), e.Deadline, lateResponseSlack+recordSlack)
		}
	case standin.ExchangeTruncated:
		if !j.processKilled(e) && !j.responseBroken(e.TraceID) && !j.cutOffByKill(e) {
			j.report(RuleResponse, e.TraceID,
				"truncated response, although neither an endpoint nor the network broke it: %v", e.Err)
		}
	case standin.ExchangeClosed:
		if !j.processKilled(e) && j.wasRead(e) {
			j.report(RuleResponse, e.TraceID, "connection closed without a response: %v", e.Err)
		}
	}
}

func (j *judge) checkCompleteResponse(e *Exchange) {
	if e.WrongBody {
		j.report(RuleResponse, e.TraceID, "received the response to another request")
	}
	late := e.EndedAt.Sub(e.SentAt) - e.Deadline
	if e.Outcome != standin.ExchangeServed && late > lateResponseSlack+recordSlack {
		j.report(RuleResponse, e.TraceID, "received the response %v after the deadline", late)
	}
}

// wasRead reports whether a sidecar had read a request whose connection it closed. It had if an endpoint received the
// request before the close; an attempt after the close may belong to a repetition by the client. It also had if the
// connection ended without a reset more than closeRaceWindow after the request was written.
func (j *judge) wasRead(e *Exchange) bool {
	for _, attempt := range j.attempts[e.TraceID] {
		if attempt.FirstByteAt.Before(e.EndedAt) {
			return true
		}
	}
	return errors.Is(e.Err, io.EOF) && e.EndedAt.Sub(e.SentAt) > closeRaceWindow
}
