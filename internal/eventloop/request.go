package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
)

// requestState is the stage of a request's life. A request never returns to an earlier state:
//
//	state      the client waits for  deadline  ends when                      next
//	uploading  the response          none      its last body byte was sent    waiting
//	                                           its final response was made    streaming, done
//	waiting    the response          set       its final response was made    streaming, done
//	streaming  the rest of it        unused    its attempt has ended          done
//	done       nothing               unused    its last attempt has ended     released
//	released   nothing               unused    -
//
// A done request only waits for the end of its attempts that are in flight. The metrics count a request as pending until it is
// done.
type requestState uint8

const (
	stateUploading requestState = iota // its long body is on its way to an endpoint: its time has not begun
	stateWaiting                       // its time runs
	stateStreaming                     // a long response is on its way to the client
	stateDone                          // the client has its response, or has disconnected
	stateReleased                      // forgotten: only its timer still refers to it
)

// request is a client's request, from its arrival until it has its response and no attempt of it is in flight. Its state and
// deadline are changed by the methods of this file and of requesttime.go only.
type request struct {
	id       balance.RequestID
	exchange *exchange.Exchange     // nil once released
	counters *metrics.ClassCounters // of the class that it arrived with
	attempts attemptSet
	deadline balance.Milliseconds // see requestState
	state    requestState
	// lateInShutdown means that the request must have ended before the process may be killed.
	lateInShutdown bool
}

// newRequest returns the request of an exchange.
func newRequest(id balance.RequestID, incoming *exchange.Exchange) *request {
	state := stateWaiting
	if incoming.Request.Uploading {
		state = stateUploading
	}
	return &request{
		id:       id,
		state:    state,
		exchange: incoming,
		counters: incoming.Settings.Counters[incoming.Request.Class],
		attempts: attemptSet{maxAttempts: incoming.Settings.MaxAttempts},
	}
}

// open reports whether the request has no final response yet.
func (r *request) isOpen() bool { return r.state == stateUploading || r.state == stateWaiting }

// uploading reports whether the end of its long body has not been sent.
func (r *request) isUploading() bool { return r.state == stateUploading }

// markUploadSent ends stateUploading: the last byte of the long body has been sent. Remaining counts from now on.
func (r *request) markUploadSent() {
	r.state = stateWaiting
	r.exchange.Request.Remaining = r.remainingFromLastByte()
}

// markFinished records the final response of an open request.
func (r *request) markFinished(streaming bool) {
	r.state = stateDone
	if streaming {
		r.state = stateStreaming
	}
	r.attempts.markRequestDone()
}

// markStreamEnded ends stateStreaming.
func (r *request) markStreamEnded() { r.state = stateDone }

// releasable reports whether the request can be forgotten.
func (r *request) canRelease() bool {
	return !r.isOpen() && r.state != stateReleased && r.attempts.inFlight == 0
}

// release frees what the request refers to. Its timer refers to the request until its deadline, long after the response;
// headers and body need not stay in memory for that.
func (r *request) release() {
	r.state = stateReleased
	r.exchange = nil
	r.attempts.release()
}
