package soak

import (
	"fmt"
	"time"
)

// responseDelay is by how much DelayResponses delays each chunk of data that is read from an endpoint.
const responseDelay = 80 * time.Millisecond

// DelayResponses delays the data that an endpoint sends by responseDelay, for a limited time.
type DelayResponses struct {
	Endpoint EndpointID
	Duration time.Duration
}

func (a DelayResponses) String() string {
	return fmt.Sprintf("delayed responses of endpoint %s for %v", a.Endpoint, a.Duration)
}

func (a DelayResponses) execute(r *run) {
	proxy := r.endpoint(a.Endpoint).proxy
	proxy.SetDelay(responseDelay)
	time.Sleep(a.Duration)
	proxy.SetDelay(0)
}
