package discovery

import (
	"context"
	"errors"
	"fmt"
)

// CallError reports a failed call to discovery.
type CallError struct {
	Address string // host and port
	Err     error
}

// Error returns a message with the address and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("discovery at %s: %v", e.Address, e.Err) }

// Unwrap returns the cause: context.DeadlineExceeded after a timeout, and otherwise an error of package net/http, a
// *StatusError, an *IncompleteListError or an error of package membership.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status string // as in the status line, such as "503 Service Unavailable"
}

// Error returns a message with the status received and the one expected.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %q, want 200", e.Status) }

// IncompleteListError reports that discovery responded with changes only to a call for the complete list.
type IncompleteListError struct{ Revision int64 }

// Error returns a message with the revision of the list.
func (e *IncompleteListError) Error() string {
	return fmt.Sprintf("endpoint list of revision %d contains only changes, want the complete list", e.Revision)
}

// isTimeout reports whether a call failed because its response did not arrive in time.
func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
