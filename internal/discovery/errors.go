package discovery

import (
	"context"
	"errors"
	"fmt"
)

// CallError reports a failed call to an address of discovery.
type CallError struct {
	Address string // host and port
	Err     error
}

// Error names the address and the reason.
func (e *CallError) Error() string { return fmt.Sprintf("discovery at %s: %v", e.Address, e.Err) }

// Unwrap returns the reason: of a timeout context.DeadlineExceeded, else an error of package net/http, a StatusError, an
// IncompleteListError or an error of package membership.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status string // as in the status line, such as "503 Service Unavailable"
}

// Error names the status.
func (e *StatusError) Error() string { return "unexpected status " + e.Status }

// IncompleteListError reports a list of changes in the response to a call for the complete list.
type IncompleteListError struct{ Revision int64 }

// Error names the revision of the list.
func (e *IncompleteListError) Error() string {
	return fmt.Sprintf("list of revision %d holds changes only, not the complete list", e.Revision)
}

// timedOut reports whether a call got no response in its time.
func timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
