package soak

import (
	"fmt"
	"time"
)

// HangEndpoint makes an endpoint receive requests without responding to them, for a limited time.
type HangEndpoint struct {
	Endpoint EndpointID
	Duration time.Duration
}

func (a HangEndpoint) String() string {
	return fmt.Sprintf("endpoint %s hangs for %v", a.Endpoint, a.Duration)
}

func (a HangEndpoint) execute(r *run) {
	endpoint := r.endpoint(a.Endpoint)
	endpoint.hanging.Store(true)
	time.Sleep(a.Duration)
	endpoint.hanging.Store(false)
}
