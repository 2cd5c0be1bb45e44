package upstream

import (
	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// Result is how an attempt or a health check ended.
type Result struct {
	Outcome     balance.Result
	Response    *exchange.Response // if the outcome is OK and the response was not streamed
	LoadReport  []float32          // in the order of the configured fields; nil: none, or an invalid one
	UploadError error              // why the request body could not be read from the client: an exchange.ClientError
	ClientGone  bool               // nothing was sent because the client has left
	Err         error              // what failed, for the log; nil if a complete response came
}
