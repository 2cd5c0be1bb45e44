package membership

import "fmt"

// MissingKeyError reports a list that lacks a required key.
type MissingKeyError struct{ Key string }

func (e *MissingKeyError) Error() string { return fmt.Sprintf("endpoint list without %q", e.Key) }

// MissingIDError reports an endpoint without an ID, by its index in the list.
type MissingIDError struct{ Index int }

func (e *MissingIDError) Error() string {
	return fmt.Sprintf("endpoint at index %d has no ID", e.Index)
}

// UnknownPhaseError reports an endpoint whose phase is none of phases.
type UnknownPhaseError struct{ EndpointID, Phase string }

func (e *UnknownPhaseError) Error() string {
	return fmt.Sprintf("endpoint %q: unknown phase %q", e.EndpointID, e.Phase)
}

// AddressError reports an endpoint whose address is not of the form host:port.
type AddressError struct {
	EndpointID, HostPort string
	Err                  error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("endpoint %q: address %q: %v", e.EndpointID, e.HostPort, e.Err)
}

// Unwrap returns the error of package net.
func (e *AddressError) Unwrap() error { return e.Err }
