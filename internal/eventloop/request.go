package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
)

// requestState is the state of a request. A request never returns to an earlier state:
//
//	state      the client waits for  deadline  ends when                         next
//	uploading  the response          none      the last body byte has been sent  waiting
//	                                           the final response is ready       streaming, done
//	waiting    the response          set       the final response is ready       streaming, done
//	streaming  the rest of it        unused    its attempt has ended             done
//	done       nothing               unused    its last attempt has ended        released
//	released   nothing               unused    -
//
// A request that is done stays in the index until its attempts in flight have ended. The metrics count a request as
// pending until it is done.
type requestState uint8

const (
	stateUploading requestState = iota // a long body is being sent to an endpoint: the time limit does not run yet
	stateWaiting                       // the request is complete: the time limit runs
	stateStreaming                     // a streamed response is being sent to the client
	stateDone                          // the client has its response, or has disconnected
	stateReleased                      // removed from the index: only its timer still refers to it
)

// request is an open request of a client: from its arrival until it has its response and no attempt is in flight. Only
// the methods in this file and in requesttime.go change its state and deadline.
type request struct {
	id         balance.RequestID
	exchange   *exchange.Exchange     // nil once released
	counters   *metrics.ClassCounters // of the class under which it arrived
	attempts   attemptSet
	deadline   balance.Milliseconds // when the client gives up; set in stateWaiting
	state      requestState
	idClaimed  bool // its trace ID is in Loop.executedIDs
	mayHaveRun bool // an attempt has ended without proof that it was not executed
	// lengthUnknown means that an attempt in flight awaits the rest of a response of unknown length, which may be decided only
	// balance.LateResponseGrace after the deadline.
	lengthUnknown bool
	// lateInShutdown means that the request was not complete before a shutdown was late (limitLateRequest,
	// limitLateUpload): its time is limited, and it gets no streamed response, so that it ends before the process may
	// be killed.
	lateInShutdown bool
}

// newRequest returns the request of an exchange.
func newRequest(id balance.RequestID, ex *exchange.Exchange) *request {
	state := stateWaiting
	if ex.Request.Uploading {
		state = stateUploading
	}
	return &request{
		id:       id,
		state:    state,
		exchange: ex,
		counters: ex.Settings.Counters[ex.Request.Class],
		attempts: attemptSet{maxAttempts: ex.Settings.MaxAttempts},
	}
}

// awaitsResponse reports whether the request has no final response yet.
func (r *request) awaitsResponse() bool { return r.state == stateUploading || r.state == stateWaiting }

// isUploading reports whether the request has a long body whose last byte has not been sent.
func (r *request) isUploading() bool { return r.state == stateUploading }

// markUploadSent ends stateUploading: the last byte of the long body has been sent. Remaining counts from now on.
func (r *request) markUploadSent() {
	r.state = stateWaiting
	r.exchange.Request.Remaining = r.remainingFromLastByte()
}

// markFinished records that a request has its final response. streaming reports whether its body is still being
// streamed.
func (r *request) markFinished(streaming bool) {
	r.state = stateDone
	if streaming {
		r.state = stateStreaming
	}
	r.attempts.markRequestDone()
}

// markStreamEnded ends stateStreaming.
func (r *request) markStreamEnded() { r.state = stateDone }

// canRelease reports whether the request has ended, has no attempt in flight and has not been released yet.
func (r *request) canRelease() bool {
	return !r.awaitsResponse() && r.state != stateReleased && r.attempts.inFlight == 0
}

// release drops the references to the exchange and the attempts. The request's timer refers to the request until the
// deadline, long after the response, and must not keep headers and body in memory until then.
func (r *request) release() {
	r.state = stateReleased
	r.exchange.Memory.Release()
	r.exchange = nil
	r.attempts.release()
}
