package eventloop

import (
	"errors"
	"log/slog"
	"net/http"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// unservedReason says why a request ended without the response of an endpoint, in the log line "request not served".
//
// This is the complete list of such ends. The balancer decides on the first two, and why it did is its own; the others are
// decided here. Those without a line of their own are not logged as unserved: an attempt that found its client disconnected, or
// a body that its client did not send to the end, is logged as a failed attempt.
//
//	end                     response                    function           reason in the log
//	rejected by balancer    503, perhaps Retry-After    rejectRequest      rejected
//	failed by balancer      502                         failRequest        failed
//	trace identifier open   409, connection closed      rejectDuplicate    -
//	upload incomplete       a RequestError, closed      failIncompleteUpload         -
//	client disconnected     none                        handleDisconnect    client disconnected
//	the same, found late    none, connection closed     abortRequest  -
//	not finished in time    504                         expireRequest      deadline exceeded
type unservedReason string

const (
	reasonRejected           unservedReason = "rejected"            // by the balancer: a retry by the client is harmless
	reasonFailed             unservedReason = "failed"              // by the balancer: a retry might execute the request twice
	reasonClientDisconnected unservedReason = "client disconnected" // before its response
	reasonDeadlineExceeded   unservedReason = "deadline exceeded"   // the balancer has not finished it in time
)

// rejectRequest finishes a request that the balancer rejected: no endpoint has executed it, or it may be executed again.
func (l *Loop) rejectRequest(req *request, retryAfter balance.Milliseconds) {
	l.logUnserved(req, slog.LevelInfo, reasonRejected)
	l.finish(req, l.rejectionResponse(retryAfter))
}

// failRequest finishes a request that the balancer has given up, that an endpoint may have executed, and that must not be
// executed twice.
func (l *Loop) failRequest(req *request) {
	l.logUnserved(req, slog.LevelInfo, reasonFailed)
	l.finish(req, textResponse(http.StatusBadGateway, "failed"))
}

// rejectDuplicate finishes a request that has the trace identifier of an open one. Endpoints and clients know a request by that
// identifier: with two of the same, a request would get the response of the other.
func (l *Loop) rejectDuplicate(req *request) {
	l.finish(req, closingResponse(http.StatusConflict, "a request of this X-Trace-Id is open"))
}

// failIncompleteUpload finishes a request whose client has not sent its long body to the end.
func (l *Loop) failIncompleteUpload(req *request, uploadError error) {
	var requestError *exchange.RequestError
	errors.As(exchange.BodyError(uploadError), &requestError)
	l.finish(req, closingResponse(requestError.Status, requestError.Text))
}

// abortRequest finishes a request whose client was found to have disconnected when its attempt was to be sent. The client
// side may not notice that itself, and closes the connection.
func (l *Loop) abortRequest(req *request) { l.finish(req, &exchange.Response{Abort: true}) }

// expireRequest fails a request that is still open after its deadline. It guards against a balancer that never finishes a
// request, by a fault of its own: its client would wait for ever.
func (l *Loop) expireRequest(req *request) {
	if !req.isOpen() {
		return
	}
	l.logUnserved(req, slog.LevelError, reasonDeadlineExceeded)
	l.finishWithoutBalancer(req, textResponse(http.StatusGatewayTimeout, "out of time"))
}

// handleDisconnect ends the request of a client that has closed its connection.
func (l *Loop) handleDisconnect(disconnected *exchange.Exchange) {
	if req := l.requests.byExchange[disconnected]; req != nil {
		l.logUnserved(req, slog.LevelInfo, reasonClientDisconnected)
		l.finishWithoutBalancer(req, nil)
	}
	select { // a long response may have been sent just before the client disconnected: nobody else ends it
	case response := <-disconnected.Responses:
		if response.Download != nil {
			response.Download.Finish(exchange.ErrDownloadStopped)
		}
	default:
	}
}

// finishWithoutBalancer finishes a request without the balancer's decision, and notifies the balancer, which drops it.
func (l *Loop) finishWithoutBalancer(req *request, response *exchange.Response) {
	l.finish(req, response)
	// Also sent for a request past its deadline, whose client is still connected: the balancer has no other event that makes
	// it drop a request.
	l.notifyBalancer(balance.ClientGone{Request: req.id})
}
