package eventloop

import (
	"net/http"
	"strconv"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

const (
	// millisecondsPerSecond converts to seconds, the unit of the Retry-After header.
	millisecondsPerSecond balance.Milliseconds = 1000
	// retryAfterDecimals is the number of decimal places in the Retry-After header: it is precise to a millisecond.
	retryAfterDecimals = 3
)

// rejectionResponse returns the response to a rejected request, which its client may safely retry: it was not executed,
// or may be executed more than once. retryAfter is how long the client should wait before the retry; 0 means not at
// all. The texts of the responses are part of the wire protocol.
func (l *Loop) rejectionResponse(retryAfter balance.Milliseconds) *exchange.Response {
	response := textResponse(http.StatusServiceUnavailable, "refused, trying again is harmless")
	cfg := &l.cfg.Balance
	if cfg.RetryAfter && retryAfter > 0 {
		seconds := float64(min(retryAfter, cfg.MaxRetryAfter) / millisecondsPerSecond)
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

// textResponse returns a plain text response with one line.
func textResponse(status int, text string) *exchange.Response {
	return &exchange.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(text + "\n"),
	}
}
