package upstream

import (
	"time"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/metrics"
)

// attemptObserver observes the response to an attempt, and determines how long to hold one of unknown length.
type attemptObserver struct {
	attempt *Attempt
	conn    *endpointConn
	hold    responseHold
	// expectedLong means that the response is streamed because others of its class were long.
	expectedLong bool
}

// newAttemptObserver returns the observer of the response to an attempt on its connection.
func newAttemptObserver(attempt *Attempt, conn *endpointConn) *attemptObserver {
	return &attemptObserver{attempt: attempt, conn: conn}
}

// ResponseStarted implements http1.ResponseObserver.
func (o *attemptObserver) ResponseStarted(length int64) { o.attempt.notifyResponseStarted(length) }

// ReserveBody implements http1.ResponseObserver.
func (o *attemptObserver) ReserveBody(bytes int) bool {
	return o.attempt.Message.Memory.Grow(memory.Responses, bytes)
}

// AwaitBody implements http1.ResponseObserver.
func (o *attemptObserver) AwaitBody(received int, expired bool) http1.BodyStep {
	if expired && o.attempt.obsolete() {
		return http1.FailBody
	}
	o.attempt.readerSetsLimit.Store(true)
	now := time.Now()
	if o.attempt.Lengths.ExpectsLong(int64(received), now) {
		o.expectedLong = true
		return http1.StreamBody
	}
	step, until := o.hold.next(received, now, o.attempt.requestDeadline(), o.attempt.finalDeadline())
	if step == http1.KeepReading {
		o.attempt.setReadDeadline(o.conn, until)
	}
	return step
}

// unknownLengthResult returns what became of a response of unknown length that was read without an error.
func (o *attemptObserver) unknownLengthResult(response http1.Response) metrics.UnknownLengthResult {
	switch {
	case !response.Streaming:
		return metrics.CompleteWhileHeld
	case o.expectedLong:
		return metrics.ExpectedLong
	case response.KnownLong():
		return metrics.LongWhileHeld
	}
	return metrics.ForwardedUndecided
}
