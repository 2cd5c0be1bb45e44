package upstream

import (
	"errors"
	"net/http"
	"os"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// neverRanHeader is "1" in a response with status 503 or 504 to a request that the server did not start.
const neverRanHeader = "X-Never-Ran"

// Result is how an attempt or a health check ended.
type Result struct {
	Outcome     balance.Result
	Response    *exchange.Response // if the outcome is OK and the response was not streamed
	LoadReport  []float32          // in the order of the configured fields; nil: none, or an invalid one
	UploadError error              // why the request body could not be read from the client: an exchange.ClientError
	ClientGone  bool               // nothing was sent because the client has left
	Err         error              // what failed, for the log; nil if a complete response came
}

// connectOutcome is the outcome of an attempt that got no connection. It tells a failure of the server from one of this
// side, which must not count against the server.
func connectOutcome(attempt *Attempt, err error) balance.Result {
	if attempt.Context.Err() != nil || errors.Is(err, errNoSocket) || !time.Now().Before(attempt.Deadline) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// writeOutcome is the outcome of an attempt whose request could not be written completely.
func writeOutcome(attempt *Attempt, err error) balance.Result {
	if attempt.Context.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// brokenOutcome is the outcome of an attempt whose request was written completely, but whose response is incomplete.
func (a *Attempt) brokenOutcome(err error) balance.Result {
	if a.Context.Err() != nil {
		return balance.Cancelled
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.ConnReset
}

// streamOutcome is the outcome of an attempt whose response was streamed until err.
func streamOutcome(attempt *Attempt, err error) balance.Result {
	switch {
	case errors.Is(err, exchange.ErrClientStopped) || attempt.Context.Err() != nil:
		return balance.Cancelled
	case err != nil:
		return balance.ConnReset
	}
	return balance.OK
}

// outcomeOf is the outcome that the status of a response stands for.
func outcomeOf(response *http.Response) balance.Result {
	switch response.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(neverRanHeader) == "1" {
			return balance.Rejected
		}
	}
	return balance.ServerError
}
