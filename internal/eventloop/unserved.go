package eventloop

import (
	"errors"
	"log/slog"
	"net/http"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// unservedReason says in the log line "request not served" why a request ended without a response from an endpoint.
//
// The table lists all cases in which that happens. The first two are decisions of the balancer, the others of the event
// loop. Cases without a reason are not logged as "request not served": an attempt that found its client disconnected,
// or an upload that the client did not complete, is logged as a failed attempt.
//
//	case                      response                    function                reason in the log
//	rejected by the balancer  503, may have Retry-After   rejectRequest           rejected
//	failed by the balancer    502                         failRequest             failed
//	trace ID open or executed 409, connection closed      rejectDuplicate         trace ID open, executed
//	upload incomplete         RequestError, closed        failIncompleteUpload    -
//	client disconnected       none                        handleDisconnect        client disconnected
//	same, found by attempt    none, connection closed     abortRequest            -
//	same, during an upload    none, connection closed     handleDeadlineTimer     client disconnected
//	not finished in time      504                         expireRequest           deadline exceeded
//	long body not sent        504                         expireRequest           body not sent in time
type unservedReason string

const (
	reasonRejected           unservedReason = "rejected"              // by the balancer: the client may retry safely
	reasonFailed             unservedReason = "failed"                // by the balancer: a retry might execute it again
	reasonClientDisconnected unservedReason = "client disconnected"   // before the client got its response
	reasonDeadlineExceeded   unservedReason = "deadline exceeded"     // the balancer has not finished the request in time
	reasonIDOpen             unservedReason = "trace ID open"         // another request with this trace ID is open
	reasonIDExecuted         unservedReason = "trace ID executed"     // another request with it may have been executed
	reasonBodyNotSent        unservedReason = "body not sent in time" // the endpoint has not accepted the long body in time
)

// rejectRequest finishes a request that the balancer rejected. The client may safely retry it: either no endpoint has
// executed it, or it may be executed more than once.
func (l *Loop) rejectRequest(req *request, retryAfter balance.Milliseconds) {
	l.logUnserved(req, slog.LevelInfo, reasonRejected)
	l.finishRequest(req, l.rejectionResponse(retryAfter))
}

// failRequest finishes a request that the balancer failed: an endpoint may have executed it, and it must not be
// executed twice.
func (l *Loop) failRequest(req *request) {
	l.logUnserved(req, slog.LevelInfo, reasonFailed)
	l.finishRequest(req, textResponse(http.StatusBadGateway, "failed"))
}

// rejectDuplicate finishes a request that has the same trace ID as an open request, or as one that may have been executed.
// Endpoints and clients identify a request by its trace ID: if two open requests shared one, each could get the other's
// response, and a repeated one could be executed twice.
func (l *Loop) rejectDuplicate(req *request, reason unservedReason) {
	l.logUnserved(req, slog.LevelInfo, reason)
	text := "a request of this X-Trace-Id is open"
	if reason == reasonIDExecuted {
		text = "a request of this X-Trace-Id may have been executed"
	}
	l.finishRequest(req, closingResponse(http.StatusConflict, text))
}

// failIncompleteUpload finishes a request whose client did not send its long body completely.
func (l *Loop) failIncompleteUpload(req *request, uploadError error) {
	var requestError *exchange.RequestError
	errors.As(exchange.BodyError(uploadError), &requestError)
	l.finishRequest(req, closingResponse(requestError.Status, requestError.Text))
}

// abortRequest finishes a request whose client turned out to have disconnected when an attempt was about to be sent.
// Package downstream may not notice the disconnect itself, so the response tells it to close the connection.
func (l *Loop) abortRequest(req *request) { l.finishRequest(req, &exchange.Response{Abort: true}) }

// expireRequest fails a request that awaits its response after its deadline. For a complete request, it guards against a
// fault in the balancer: a request that the balancer never finishes would leave its client waiting forever. A long body that the
// endpoint accepts too slowly is failed here, because the balancer counts the time only from the last byte sent.
func (l *Loop) expireRequest(req *request, level slog.Level, reason unservedReason) {
	l.logUnserved(req, level, reason)
	l.finishWithoutBalancer(req, textResponse(http.StatusGatewayTimeout, "out of time"))
}

// handleDisconnect ends the request of a client that has closed its connection.
func (l *Loop) handleDisconnect(ex *exchange.Exchange) {
	if req := l.requests.byExchange[ex]; req != nil {
		l.logUnserved(req, slog.LevelInfo, reasonClientDisconnected)
		l.finishWithoutBalancer(req, nil)
	}
	select { // A streamed response may have been sent just before the disconnect: its Download has no other reader.
	case response := <-ex.Responses:
		if response.Download != nil {
			response.Download.Finish(exchange.ErrDownloadStopped)
		}
	default:
	}
}

// finishWithoutBalancer finishes a request without a decision of the balancer, and notifies the balancer, which drops
// the request.
func (l *Loop) finishWithoutBalancer(req *request, response *exchange.Response) {
	l.finishRequest(req, response)
	// A request past its deadline is reported as ClientGone too, although its client is still connected: the balancer
	// has no other event that makes it drop a request.
	l.notifyBalancer(balance.ClientGone{Request: req.id})
}
