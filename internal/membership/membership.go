// Package membership holds the list of servers in the form in which discovery sends it: it parses and validates it.
// The package keeps no state and starts no goroutines. A list is complete, or holds only the members that changed.
package membership

import (
	"net"
	"strings"

	"cindersaddle/balance"
)

// EndpointList is a list of members, or of the changes to an earlier one.
type EndpointList struct {
	Revision int64      `json:"revision"` // increases with each change, separately for each address of discovery
	Complete bool       `json:"complete"` // false: Members are the changes since an earlier revision
	Members  []Endpoint `json:"members"`
}

// Endpoint is one server as discovery lists it.
type Endpoint struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"` // may be missing or invalid for an endpoint that is gone
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"` // the machine type
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`       // a key of phases; see State
	Size     float64 `json:"size"`        // the rating; balance.RatingKind says what it means
	UpSince  float64 `json:"up_since_ms"` // when the server last started, in milliseconds
}

// phases maps the phases of an endpoint, as discovery names them, to endpoint states.
var phases = map[string]balance.EndpointState{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// Validate returns an error that names the first invalid endpoint. The list must then be rejected as a whole: the entry
// skipped could be a server that drains.
func (l *EndpointList) Validate() error {
	for i := range l.Members {
		if err := l.Members[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// State returns the endpoint state of a valid endpoint.
func (e *Endpoint) State() balance.EndpointState { return phases[e.Phase] }

// validate checks the endpoint at an index of a list.
func (e *Endpoint) validate(index int) error {
	if e.ID == "" {
		return &MissingIDError{Index: index}
	}
	state, ok := phases[e.Phase]
	if !ok {
		return &UnknownPhaseError{EndpointID: e.ID, Phase: e.Phase}
	}
	if state == balance.Gone {
		return nil
	}
	if _, _, err := net.SplitHostPort(e.HostPort); err != nil {
		return &AddressError{EndpointID: e.ID, HostPort: e.HostPort, Err: err}
	}
	return nil
}

// Clone returns a copy that shares no memory with the text of the list from which the endpoint was parsed: an endpoint
// that is stored would otherwise keep the text of the complete list in memory.
func (e *Endpoint) Clone() Endpoint {
	clone := *e
	for _, text := range []*string{&clone.ID, &clone.HostPort, &clone.Locality, &clone.Flavor, &clone.Phase} {
		*text = strings.Clone(*text)
	}
	return clone
}
