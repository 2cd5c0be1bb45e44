package upstream

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// Outcome describes how an attempt or a health check ended. Whether a request may be retried depends on whether the
// endpoint may have executed it, which follows from the result of the attempt:
//
//	what happened                                                result          executed
//	connect or write failed for a reason on the sidecar's side   NotAttempted    no
//	connect or write failed for any other reason                 ConnectFailed   no
//	status 503 or 504 with neverRanHeader                        Rejected        no
//	no response before the deadline                              TimedOut        possibly
//	the connection broke before the end of the response          ConnReset       possibly
//	the event loop or the client cancelled the attempt           Cancelled       possibly
//	not received completely by the endpoint at Attempt.SendBy    Cancelled       possibly
//	any other status except 200                                  ServerError     possibly
//	a complete response with status 200                          OK              yes
//
// If Incomplete is set, the endpoint has not executed the request, whatever the result is.
type Outcome struct {
	Result             balance.Result
	Response           *exchange.Response // set if Result is OK and the response was not streamed
	LoadReport         []float32          // in the order of the configured fields; nil if missing or invalid
	Incomplete         bool               // the last byte of the request was not written and never will be
	UploadError        error              // an exchange.ClientError if the request body could not be sent completely
	ClientDisconnected bool               // nothing was sent because the client has disconnected
	Err                error              // what failed, for the log; nil if the response is complete
}
