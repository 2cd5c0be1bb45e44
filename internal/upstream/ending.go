package upstream

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// Ending is how an attempt or a health check ended. The result of an attempt says whether the endpoint may have executed
// the request, on which a retry depends:
//
//	what happened                                           result          executed
//	no connection, or the write failed, on this side        NotAttempted    no
//	no connection, or the write failed, on the other side   ConnectFailed   no
//	status 503 or 504 with neverRanHeader                   Rejected        no
//	no response before the deadline                         TimedOut        perhaps
//	the connection broke before the end of the response     ConnReset       perhaps
//	the event loop or the client ended the attempt          Cancelled       perhaps
//	any other status than 200                               ServerError     perhaps
//	a complete response with status 200                     OK              yes
type Ending struct {
	Result             balance.Result
	Response           *exchange.Response // if the result is OK and the response was not streamed
	LoadReport         []float32          // in the order of the configured fields; nil: none, or an invalid one
	UploadError        error              // why the request body could not be read from the client: an exchange.ClientError
	ClientDisconnected bool               // nothing was sent because the client has disconnected
	Err                error              // what failed, for the log; nil if a complete response came
}
