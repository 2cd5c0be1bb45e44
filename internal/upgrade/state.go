package upgrade

import (
	"fmt"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// StateVersion is the version of the encoded State and of the handover protocol.
const StateVersion = 1

// State is the state that a process hands over to its successor. See encode and decode for its encoded form.
type State struct {
	Version   int
	Listen    string // the client address
	Discovery string // address of the discovery service that sent List; the revision of List is valid only there
	List      membership.EndpointList
	Classes   []string // names, in the order of Learned.Classes
	Tenants   []string // names, in the order of Learned.TenantRequests
	Learned   balance.LearnedState
	// WallClockOffset is the wall clock minus the clock of the times in Learned, in milliseconds. It differs from 0 after
	// the wall clock was stepped. Earlier versions do not send it.
	WallClockOffset balance.Milliseconds
}

// VersionError reports a predecessor whose state or handover protocol has another version than StateVersion.
type VersionError struct{ Version int }

// Error returns a message with the version received and the version supported.
func (e *VersionError) Error() string {
	return fmt.Sprintf("predecessor sent state of version %d, want version %d", e.Version, StateVersion)
}

// AddressError reports the state of a sidecar that serves another client address.
type AddressError struct {
	Listen string // the client address in the state
	Want   string // the client address of this process
}

// Error returns a message with both addresses.
func (e *AddressError) Error() string {
	return fmt.Sprintf("predecessor sent state of the sidecar at %q, want that of %q", e.Listen, e.Want)
}
