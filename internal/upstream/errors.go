package upstream

import (
	"errors"
	"fmt"
)

// errNoSocket means that no connection was opened because the sidecar has no socket available. connLimitError and
// noSocketError wrap it.
var errNoSocket = errors.New("no socket available")

// errReceivedTooLate means that an attempt was withdrawn at Attempt.SendBy.
var errReceivedTooLate = errors.New("endpoint had not received the complete request when the dedup window ended")

// connectError reports that a connection to an endpoint could not be opened.
type connectError struct {
	Endpoint, Address string
	Err               error
}

// Error returns a text with the endpoint, its address and the cause.
func (e *connectError) Error() string {
	return fmt.Sprintf("connect to endpoint %s at %s: %v", e.Endpoint, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.Err }

// connLimitError reports that as many connections as the pool may open are in use.
type connLimitError struct{ Limit int }

// Error returns a text with the limit.
func (e *connLimitError) Error() string {
	return fmt.Sprintf("%v: all %d connections are in use", errNoSocket, e.Limit)
}

// Unwrap returns errNoSocket.
func (e *connLimitError) Unwrap() error { return errNoSocket }

// noSocketError reports that the operating system provided no socket.
type noSocketError struct{ Err error }

// Error returns a text with the error of the operating system.
func (e *noSocketError) Error() string { return fmt.Sprintf("%v: %v", errNoSocket, e.Err) }

// Unwrap returns errNoSocket and the error of the operating system.
func (e *noSocketError) Unwrap() []error { return []error{errNoSocket, e.Err} }
