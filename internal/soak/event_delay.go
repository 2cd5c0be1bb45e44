package soak

import (
	"fmt"
	"time"
)

// responseDelay is the delay of each read of what an endpoint sends, during DelayResponses.
const responseDelay = 80 * time.Millisecond

// DelayResponses delays what an endpoint sends by responseDelay for a length of time.
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
