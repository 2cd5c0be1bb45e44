package balance

import "fmt"

// UnknownClassError is returned for a request whose class is not in the configuration.
type UnknownClassError struct {
	Request RequestID
	Class   int
}

// Error implements error.
func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("request %d: unknown class %d", e.Request, e.Class)
}

// UnknownAttemptError is returned for an outcome of an attempt that is not in flight.
type UnknownAttemptError struct {
	Request RequestID
	Attempt int
}

// Error implements error.
func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("request %d: attempt %d is not in flight", e.Request, e.Attempt)
}
