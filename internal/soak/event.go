package soak

import (
	"fmt"
	"time"
)

// Event is a fault, or another change around the sidecars, at one moment of a run.
type Event struct {
	At     time.Duration // after the start of the traffic
	Action Action
}

func (e Event) String() string { return fmt.Sprintf("%6.3f %v", e.At.Seconds(), e.Action) }

// Action is what happens in an event.
type Action interface {
	fmt.Stringer
	// execute carries the action out and returns at its end.
	execute(r *run)
}

// connectionBreaker is an Action that breaks connections to an endpoint, so that responses may be truncated and attempts may
// overlap without a fault of a sidecar.
type connectionBreaker interface {
	Action
	// brokenConnections returns the endpoint and how long after the event its connections may break.
	brokenConnections() (EndpointID, time.Duration)
}

// execute waits for the moment of the event and carries it out to its end.
func (e Event) execute(r *run) {
	time.Sleep(time.Until(r.beganAt.Add(e.At)))
	e.Action.execute(r)
}
