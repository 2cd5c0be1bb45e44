package eventloop

import "cindersaddle/balance"

const (
	// deadlineSlack is how long after its deadline a request fails that the balancer has not finished.
	deadlineSlack balance.Milliseconds = 10
	// maxUploadTime is the limit of an attempt whose request's time has not begun: an hour.
	maxUploadTime balance.Milliseconds = 60 * 60 * 1000
)

// setDeadline sets the deadline of a request that is complete: its client waits for Remaining from now on.
func (r *request) setDeadline(now balance.Milliseconds) {
	r.deadline = now + r.exchange.Request.Remaining
}

// subtractQueueTime takes the time that the request was queued for the event loop from what remains of its time.
func (r *request) subtractQueueTime(queued balance.Milliseconds) {
	incoming := &r.exchange.Request
	incoming.Remaining = max(0, incoming.Remaining-queued)
}

// limitToShutdown bounds the time of a request that came late in a shutdown by what the shutdown allows.
func (r *request) limitToShutdown(allowed balance.Milliseconds) {
	r.lateInShutdown = true
	incoming := &r.exchange.Request
	incoming.Remaining = max(0, min(incoming.Remaining, allowed))
}

// remaining returns how long the client of an open request still waits. While its body is on its way, its time has not begun.
func (r *request) remaining(now balance.Milliseconds) balance.Milliseconds {
	if r.isUploading() {
		return r.exchange.Request.Remaining
	}
	return r.deadline - now
}

// timeAfterUpload returns how long an attempt that begins now may take from the last byte of the request on.
func (r *request) timeAfterUpload(now balance.Milliseconds) balance.Milliseconds {
	if r.isUploading() {
		return r.remainingFromLastByte()
	}
	return max(0, r.deadline-now)
}

// remainingFromLastByte returns how long the client of a request with a long body waits at least, from now on if the last byte has
// come, and otherwise from then on. An attempt that follows a failed one can begin long after the last byte.
func (r *request) remainingFromLastByte() balance.Milliseconds {
	remaining := r.exchange.Request.Remaining
	if upload := r.exchange.Message.Upload; upload != nil {
		remaining -= balance.MillisecondsOf(upload.SinceLastByte())
	}
	return max(0, remaining)
}

// attemptDeadline returns when an attempt that begins now is given up: with its request, or at limit if that is sooner;
// limit 0: there is none.
func (r *request) attemptDeadline(now, limit balance.Milliseconds) balance.Milliseconds {
	deadline := r.deadline
	if r.isUploading() {
		deadline = now + r.maxUploadAttemptTime()
	}
	if limit > 0 {
		deadline = min(deadline, limit)
	}
	return deadline
}

// maxUploadAttemptTime returns how long an attempt that begins now may take, of a request in stateUploading.
func (r *request) maxUploadAttemptTime() balance.Milliseconds {
	if upload := r.exchange.Message.Upload; upload != nil && upload.Received.Load() {
		return r.remainingFromLastByte()
	}
	return maxUploadTime
}
