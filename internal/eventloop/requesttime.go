package eventloop

import "cindersaddle/balance"

const (
	// deadlineSlack is how long after its deadline the loop fails a request that the balancer has not finished.
	deadlineSlack balance.Milliseconds = 10
	// maxUploadTime is the time limit of an attempt while the request's own time limit does not run yet: one hour.
	maxUploadTime balance.Milliseconds = 60 * 60 * 1000
)

// setDeadline sets the deadline of a request that is complete: Remaining after now.
func (r *request) setDeadline(now balance.Milliseconds) {
	r.deadline = now + r.exchange.Request.Remaining
}

// subtractQueueTime subtracts the time that the request waited for the event loop from its remaining time.
func (r *request) subtractQueueTime(queued balance.Milliseconds) {
	balancerRequest := &r.exchange.Request
	balancerRequest.Remaining = max(0, balancerRequest.Remaining-queued)
}

// limitRemaining limits the remaining time of a request.
func (r *request) limitRemaining(allowed balance.Milliseconds) {
	balancerRequest := &r.exchange.Request
	balancerRequest.Remaining = max(0, min(balancerRequest.Remaining, allowed))
}

// remaining returns how much longer the client of a request waits for its response. During the upload that is the
// complete time limit, which does not run yet.
func (r *request) remaining(now balance.Milliseconds) balance.Milliseconds {
	if r.isUploading() {
		return r.exchange.Request.Remaining
	}
	return r.deadline - now
}

// expiresAt returns when a complete request fails that the balancer has not finished.
func (r *request) expiresAt() balance.Milliseconds {
	if r.lengthUnknown {
		return r.deadline + balance.LateResponseGrace + deadlineSlack
	}
	return r.deadline + deadlineSlack
}

// timeAfterUpload returns how long an attempt that starts now may take after it has sent the last byte of the request.
func (r *request) timeAfterUpload(now balance.Milliseconds) balance.Milliseconds {
	if r.isUploading() {
		return r.remainingFromLastByte()
	}
	return max(0, r.deadline-now)
}

// remainingFromLastByte returns how long the client of a request with a long body still waits, at least. The time limit
// of the client runs from the last byte, so the longest time for which that byte may have been here is subtracted: an
// attempt that follows a failed one may start long after it. The result counts from now if the last byte has been
// received, and otherwise from its receipt.
func (r *request) remainingFromLastByte() balance.Milliseconds {
	remaining := r.exchange.Request.Remaining
	if upload := r.exchange.Message.Upload; upload != nil {
		remaining -= balance.MillisecondsOf(upload.SinceLastByte())
	}
	return max(0, remaining)
}

// attemptDeadline returns the deadline of an attempt that starts now: the deadline of its request, or limit if that is
// earlier. A limit of 0 means none.
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

// maxUploadAttemptTime returns how long an attempt that starts now may take, for a request in stateUploading.
func (r *request) maxUploadAttemptTime() balance.Milliseconds {
	if upload := r.exchange.Message.Upload; upload != nil && upload.Received.Load() {
		return r.remainingFromLastByte()
	}
	return maxUploadTime
}
