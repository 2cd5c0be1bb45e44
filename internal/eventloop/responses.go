package eventloop

import (
	"net/http"
	"strconv"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

const (
	// millisecondsPerSecond is the unit of the Retry-After header: a second.
	millisecondsPerSecond balance.Milliseconds = 1000
	// retryAfterDecimals is how many digits after the point the header has, which are down to milliseconds.
	retryAfterDecimals = 3
)

// rejection returns the response of a request that its client may safely retry: it was not executed, or may be executed
// again. retryAfter is how long the client should wait; 0: it may retry at once.
// The texts of the responses are part of the wire protocol.
func (l *Loop) rejectionResponse(retryAfter balance.Milliseconds) *exchange.Response {
	response := textResponse(http.StatusServiceUnavailable, "refused, trying again is harmless")
	limits := &l.cfg.Balance
	if limits.RetryAfter && retryAfter > 0 {
		seconds := float64(min(retryAfter, limits.MaxRetryAfter) / millisecondsPerSecond)
		response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', retryAfterDecimals, 64))
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
