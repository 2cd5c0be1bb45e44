package eventloop

import (
	"net/http"
	"strconv"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// millisecondsPerSecond converts to the unit of the Retry-After header.
const millisecondsPerSecond = 1000

// rejection returns the response of a request that was not executed and may be retried. retryAfter is how long
// the client should wait; 0: it may retry at once.
func (l *Loop) rejection(retryAfter balance.Milliseconds) *exchange.Response {
	response := textResponse(http.StatusServiceUnavailable, "refused, trying again is harmless")
	limits := &l.cfg.Balance
	if limits.RetryAfter && retryAfter > 0 {
		seconds := min(retryAfter, limits.MaxRetryAfter) / millisecondsPerSecond
		response.Header.Set("Retry-After", strconv.FormatFloat(float64(seconds), 'f', 3, 64))
	}
	return response
}

// closingResponse returns a plain text response after which the client's connection is closed.
func closingResponse(status int, text string) *exchange.Response {
	response := textResponse(status, text)
	response.CloseConn = true
	return response
}

// textResponse returns a plain text response of one line.
func textResponse(status int, text string) *exchange.Response {
	return &exchange.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(text + "\n"),
	}
}
