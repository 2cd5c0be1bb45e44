package membership

import (
	"net"
	"strings"

	"cindersaddle/balance"
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          string  `json:"id"`
	Address     string  `json:"host_port"` // host and port; may be missing or invalid for an endpoint that is gone
	Zone        string  `json:"locality"`
	MachineType string  `json:"flavor"`
	Cell        int     `json:"cell"`
	Phase       Phase   `json:"phase"`
	Rating      float64 `json:"size"` // relative capacity; 0: unknown
	// StartedAt is when the endpoint's process last started, on the wall clock; 0: unknown.
	StartedAt balance.Milliseconds `json:"up_since_ms"`
}

// Phase is the state of an endpoint in the words of discovery.
type Phase string

// The phases of an endpoint.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseGone     Phase = "gone"
)

// states maps phases to the states of package balance.
var states = map[Phase]balance.EndpointState{
	PhaseReady:    balance.Ready,
	PhaseDraining: balance.Draining,
	PhaseGone:     balance.Gone,
}

// State returns the state of a valid endpoint.
func (e *Endpoint) State() balance.EndpointState { return states[e.Phase] }

// validate checks the endpoint at an index of a list.
func (e *Endpoint) validate(index int) error {
	if e.ID == "" {
		return &MissingIDError{Index: index}
	}
	state, known := states[e.Phase]
	if !known {
		return &UnknownPhaseError{EndpointID: e.ID, Phase: e.Phase}
	}
	if state == balance.Gone {
		return nil
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return &AddressError{EndpointID: e.ID, Address: e.Address, Err: err}
	}
	return nil
}

// Clone returns a copy that shares no memory with the text of the list from which the endpoint was parsed: an endpoint
// that is stored would otherwise keep the text of the complete list in memory.
func (e *Endpoint) Clone() Endpoint {
	clone := *e
	for _, text := range []*string{&clone.ID, &clone.Address, &clone.Zone, &clone.MachineType, (*string)(&clone.Phase)} {
		*text = strings.Clone(*text)
	}
	return clone
}
