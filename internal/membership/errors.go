package membership

import "fmt"

// MissingKeyError reports an endpoint list without one of its required keys.
type MissingKeyError struct{ Key string }

// Error returns a message with the key.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("endpoint list lacks the required key %q", e.Key)
}

// MissingIDError reports an endpoint without an ID.
type MissingIDError struct{ Index int } // position of the endpoint in the list

// Error returns a message with the index.
func (e *MissingIDError) Error() string {
	return fmt.Sprintf("endpoint at index %d has no \"id\" or an empty one", e.Index)
}

// UnknownPhaseError reports an endpoint whose phase is missing or not one of the constants of type Phase.
type UnknownPhaseError struct {
	EndpointID string
	Phase      Phase
}

// Error returns a message with the endpoint, its phase and the valid phases.
func (e *UnknownPhaseError) Error() string {
	return fmt.Sprintf("endpoint %q: unknown phase %q, want %q, %q or %q",
		e.EndpointID, e.Phase, PhaseReady, PhaseDraining, PhaseGone)
}

// AddressError reports an endpoint whose address is not of the form host:port.
type AddressError struct {
	EndpointID string
	Address    string
	Err        error
}

// Error returns a message with the endpoint, the address, the form expected and the cause.
func (e *AddressError) Error() string {
	return fmt.Sprintf("endpoint %q: invalid \"host_port\" %q, want host:port: %v", e.EndpointID, e.Address, e.Err)
}

// Unwrap returns the cause, an error of package net.
func (e *AddressError) Unwrap() error { return e.Err }
