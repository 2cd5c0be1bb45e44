package membership

import (
	"net"
	"strings"

	"cindersaddle/balance"
)

// Endpoint is an entry of an EndpointList.
type Endpoint struct {
	ID          string  `json:"id"`
	Address     string  `json:"host_port"` // host:port; may be missing or invalid if the endpoint is gone
	Zone        string  `json:"locality"`
	MachineType string  `json:"flavor"`
	Cell        int     `json:"cell"` // number of a group of endpoints; see balance.DedupCell
	Phase       Phase   `json:"phase"`
	Rating      float64 `json:"size"` // relative capacity; 0: unknown
	// StartedAt is the time by the wall clock at which the endpoint's process last started; 0: unknown.
	StartedAt balance.Milliseconds `json:"up_since_ms"`
}

// Phase is the state of an endpoint as discovery names it.
type Phase string

// The phases of an endpoint.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseGone     Phase = "gone"
)

// stateByPhase maps each valid phase to a state of package balance.
var stateByPhase = map[Phase]balance.EndpointState{
	PhaseReady:    balance.Ready,
	PhaseDraining: balance.Draining,
	PhaseGone:     balance.Gone,
}

// State returns the state of the endpoint for package balance. The endpoint must be valid.
func (e *Endpoint) State() balance.EndpointState { return stateByPhase[e.Phase] }

// validate returns an error if the endpoint is invalid. index is its position in the list.
func (e *Endpoint) validate(index int) error {
	if e.ID == "" {
		return &MissingIDError{Index: index}
	}
	state, known := stateByPhase[e.Phase]
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

// Clone returns a copy that shares no memory with the text of the list from which the endpoint was parsed. Otherwise a
// stored endpoint would keep the text of the complete list in memory.
func (e *Endpoint) Clone() Endpoint {
	clone := *e
	for _, text := range []*string{&clone.ID, &clone.Address, &clone.Zone, &clone.MachineType, (*string)(&clone.Phase)} {
		*text = strings.Clone(*text)
	}
	return clone
}
