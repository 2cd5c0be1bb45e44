package membership

import "fmt"

// MissingKeyError reports a list that lacks a required key.
type MissingKeyError struct{ Key string }

// Error names the key.
func (e *MissingKeyError) Error() string { return fmt.Sprintf("endpoint list without %q", e.Key) }

// MissingIDError reports an endpoint without an ID.
type MissingIDError struct{ Index int } // of the endpoint, in the list

// Error names the index.
func (e *MissingIDError) Error() string {
	return fmt.Sprintf("endpoint at index %d has no ID", e.Index)
}

// UnknownPhaseError reports an endpoint whose phase is none of the constants of Phase.
type UnknownPhaseError struct {
	EndpointID string
	Phase      Phase
}

// Error names the endpoint and the phase.
func (e *UnknownPhaseError) Error() string {
	return fmt.Sprintf("endpoint %q: unknown phase %q", e.EndpointID, e.Phase)
}

// AddressError reports an endpoint whose address is not of the form host:port.
type AddressError struct {
	EndpointID string
	Address    string
	Err        error
}

// Error names the endpoint, the address and the reason.
func (e *AddressError) Error() string {
	return fmt.Sprintf("endpoint %q: address %q: %v", e.EndpointID, e.Address, e.Err)
}

// Unwrap returns the reason, an error of package net.
func (e *AddressError) Unwrap() error { return e.Err }
