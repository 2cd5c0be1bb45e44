package upgrade

import (
	"fmt"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// StateVersion is the version of State and of the bytes around it.
const StateVersion = 1

// State is what a process hands to its successor. encode and decode map it to its encoded form.
type State struct {
	Version   int
	Listen    string // the clients' address
	Discovery string // the discovery service that sent the list: a revision is valid there only
	List      membership.EndpointList
	Classes   []string
	Tenants   []string
	Learned   balance.LearnedState
	// WallAhead is by how many milliseconds the wall clock is ahead of the clock of Learned, because it was stepped. Earlier
	// versions do not send it.
	WallAhead balance.Milliseconds
}

// VersionError reports a predecessor of another version of the handover.
type VersionError struct{ Version int }

// Error names the version.
func (e *VersionError) Error() string { return fmt.Sprintf("state of version %d", e.Version) }

// AddressError reports the state of a sidecar at another clients' address.
type AddressError struct{ Listen string }

// Error names the address.
func (e *AddressError) Error() string { return fmt.Sprintf("state of the sidecar at %q", e.Listen) }
