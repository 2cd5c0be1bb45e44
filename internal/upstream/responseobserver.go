package upstream

import (
	"time"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/timing"
)

// attemptObserver observes the response to an attempt, and determines how long to hold one of unknown length.
type attemptObserver struct {
	attempt *Attempt
	conn    *endpointConn
	peeker  *unreadPeeker
	hold    responseHold
	// streamedAs is why the response is streamed, if it is.
	streamedAs metrics.UnknownLengthResult
}

// newAttemptObserver returns the observer of the response to an attempt on its connection.
func newAttemptObserver(attempt *Attempt, conn *endpointConn, peeker *unreadPeeker) *attemptObserver {
	return &attemptObserver{attempt: attempt, conn: conn, peeker: peeker, streamedAs: metrics.LongWhileHeld}
}

// ResponseStarted implements http1.ResponseObserver.
func (o *attemptObserver) ResponseStarted(length int64) { o.attempt.notifyResponseStarted(length) }

// ReserveBody implements http1.ResponseObserver.
func (o *attemptObserver) ReserveBody(bytes int) bool {
	return o.attempt.Message.Memory.Grow(memory.Responses, bytes)
}

// memoryCheckInterval is the time between two attempts to reserve memory for a response that is held.
const memoryCheckInterval = 50 * time.Millisecond

// AwaitMemory implements http1.ResponseObserver. The response is held as with memory: what the kernel has says whether it is
// complete or long.
func (o *attemptObserver) AwaitMemory(received, bytes int, unread http1.UnreadBody) http1.BodyStep {
	for !o.ReserveBody(bytes) {
		if o.attempt.obsolete() {
			return http1.FailBody
		}
		extent := o.peeker.extent(o.conn, unread)
		arrived := received + int(extent.Bytes)
		if arrived > http1.MaxBufferedBody {
			return http1.StreamBody
		}
		if extent.Complete {
			o.streamedAs = metrics.CompleteWhileHeld
			return http1.StreamBody
		}
		now := time.Now()
		step, until := o.nextStep(arrived, now)
		if step != http1.KeepReading {
			return step
		}
		timing.Sleep(o.attempt.Context, min(memoryCheckInterval, until.Sub(now)))
	}
	return http1.KeepReading
}

// AwaitBody implements http1.ResponseObserver.
func (o *attemptObserver) AwaitBody(received int, expired bool) http1.BodyStep {
	if expired && o.attempt.obsolete() {
		return http1.FailBody
	}
	o.attempt.readerSetsLimit.Store(true)
	now := time.Now()
	if o.attempt.Lengths.ExpectsLong(int64(received), now) {
		o.streamedAs = metrics.ExpectedLong
		return http1.StreamBody
	}
	step, until := o.nextStep(received, now)
	if step == http1.KeepReading {
		o.attempt.setReadDeadline(o.conn, until)
	}
	return step
}

// nextStep returns what to do with a response of which so many bytes have arrived, and until when to wait for more.
func (o *attemptObserver) nextStep(arrived int, now time.Time) (step http1.BodyStep, until time.Time) {
	deadline := o.attempt.requestDeadline()
	step, until = o.hold.next(arrived, now, deadline, o.attempt.finalDeadline(deadline))
	if step == http1.StreamBody {
		o.streamedAs = metrics.ForwardedUndecided
	}
	return step, until
}

// unknownLengthResult returns what became of a response of unknown length that was read without an error.
func (o *attemptObserver) unknownLengthResult(response http1.Response) metrics.UnknownLengthResult {
	if response.Streaming {
		return o.streamedAs
	}
	return metrics.CompleteWhileHeld
}
