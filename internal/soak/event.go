package soak

import (
	"fmt"
	"time"
)

// Event is a fault or another change in the surroundings of the sidecars that begins at a given time of a run.
type Event struct {
	At     time.Duration // after the start of the traffic
	Action Action
}

func (e Event) String() string { return fmt.Sprintf("%6.3f %v", e.At.Seconds(), e.Action) }

// Action is what an event does.
type Action interface {
	fmt.Stringer
	// execute runs the action and returns when it has ended.
	execute(r *run)
}

// connectionBreaker is an Action that breaks connections to an endpoint. Responses may then be truncated and attempts
// may overlap without any fault of a sidecar.
type connectionBreaker interface {
	Action
	// brokenConnections returns the endpoint and how long after the start of the event its connections may break.
	brokenConnections() (EndpointID, time.Duration)
}

// execute waits until the time of the event and executes its action.
func (e Event) execute(r *run) {
	time.Sleep(time.Until(r.beganAt.Add(e.At)))
	e.Action.execute(r)
}
