package upstream

import (
	"context"
	"errors"
	"net/http"
	"os"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// An endpoint sets neverRanHeader to neverRanValue in a response with status 503 or 504 if it did not execute the request.
const (
	neverRanHeader = "X-Never-Ran"
	neverRanValue  = "1"
)

// noConnectionResult returns the result of an attempt or a health check that got no connection because of err. A
// failure on the sidecar's side is NotAttempted, which does not count against the endpoint.
func noConnectionResult(ctx context.Context, err error) balance.Result {
	if ctx.Err() != nil || errors.Is(err, errNoSocket) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// connectErrorResult returns the result of an attempt that got no connection. If its deadline has passed, the failure
// does not count against the endpoint, which may have had less time than the connect timeout.
func (a *Attempt) connectErrorResult(err error) balance.Result {
	if a.tooLateToSend() {
		return balance.NotAttempted
	}
	return noConnectionResult(a.Context, err)
}

// writeErrorResult returns the result of an attempt whose request was not written completely, and so was not executed.
func (a *Attempt) writeErrorResult(err error) balance.Result {
	if a.interrupted() || errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// readErrorResult returns the result of an attempt whose request was written completely but whose response is
// incomplete. The request may have been executed.
func (a *Attempt) readErrorResult(err error) balance.Result {
	if a.interrupted() {
		return balance.Cancelled
	}
	return responseErrorResult(err)
}

// responseErrorResult returns the result for an error from reading a response.
func responseErrorResult(err error) balance.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.ConnReset
}

// streamResult returns the result of an attempt whose streamed response ended with err, or completely if err is nil.
func (a *Attempt) streamResult(err error) balance.Result {
	switch {
	case errors.Is(err, exchange.ErrDownloadStopped) || a.interrupted():
		return balance.Cancelled
	case err != nil:
		return balance.ConnReset
	}
	return balance.OK
}

// statusResult returns the result for the status of a response.
func statusResult(response *http.Response) balance.Result {
	switch response.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(neverRanHeader) == neverRanValue {
			return balance.Rejected
		}
	}
	return balance.ServerError
}
