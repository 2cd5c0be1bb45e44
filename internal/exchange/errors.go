package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"os"
)

// RequestError reports that the client's request is invalid. The client receives a response with this status and text.
// It is not a rejection by the load balancer: the same request would fail again.
type RequestError struct {
	Status int    // HTTP status of the response
	Text   string // body of the response, without the final newline
}

// Error returns the text that the client receives.
func (e *RequestError) Error() string { return e.Text }

// BadRequestf returns a RequestError with status 400 and a formatted text.
func BadRequestf(format string, args ...any) error {
	return &RequestError{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// ErrBodyTooLarge is the RequestError for a body that exceeds the size limit.
var ErrBodyTooLarge = &RequestError{Status: http.StatusRequestEntityTooLarge, Text: "body too long"}

// BodyError converts an error from reading a request's body to the RequestError that its client receives.
func BodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &RequestError{Status: http.StatusRequestTimeout, Text: "the body does not come"}
	}
	return BadRequestf("body: %v", err)
}
