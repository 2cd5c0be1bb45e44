package upstream

import (
	"context"
	"errors"
	"net/http"
	"os"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// neverRanHeader is neverRan in a response with status 503 or 504 to a request that the endpoint did not execute.
const (
	neverRanHeader = "X-Never-Ran"
	neverRan       = "1"
)

// connectResult is the result of a health check that got no connection. A failure of this side is NotAttempted, which
// does not count against the endpoint.
func connectResult(ctx context.Context, err error) balance.Result {
	if ctx.Err() != nil || errors.Is(err, errNoSocket) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// connectResult is the result of an attempt that got no connection. One whose time ended meanwhile says nothing of the
// endpoint, which may have got less time than the timeout of connections.
func (a *Attempt) connectResult(err error) balance.Result {
	if a.expired() {
		return balance.NotAttempted
	}
	return connectResult(a.Context, err)
}

// writeResult is the result of an attempt whose request could not be written completely, so that it was not executed.
func (a *Attempt) writeResult(err error) balance.Result {
	if a.Context.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.NotAttempted
	}
	return balance.ConnectFailed
}

// readResult is the result of an attempt whose request was written completely, but whose response is incomplete: the
// request may have been executed.
func (a *Attempt) readResult(err error) balance.Result {
	if a.Context.Err() != nil {
		return balance.Cancelled
	}
	return readResult(err)
}

// readResult is the result that an error from reading a response stands for.
func readResult(err error) balance.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return balance.TimedOut
	}
	return balance.ConnReset
}

// streamResult is the result of an attempt whose response was streamed until err; nil: completely.
func (a *Attempt) streamResult(err error) balance.Result {
	switch {
	case errors.Is(err, exchange.ErrDownloadStopped) || a.Context.Err() != nil:
		return balance.Cancelled
	case err != nil:
		return balance.ConnReset
	}
	return balance.OK
}

// statusResult is the result that the status of a response stands for.
func statusResult(response *http.Response) balance.Result {
	switch response.StatusCode {
	case http.StatusOK:
		return balance.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if response.Header.Get(neverRanHeader) == neverRan {
			return balance.Rejected
		}
	}
	return balance.ServerError
}
