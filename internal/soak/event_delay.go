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
	Length   time.Duration
}

func (a DelayResponses) String() string {
	return fmt.Sprintf("delayed responses of endpoint %s for %v", a.Endpoint, a.Length)
}

func (a DelayResponses) carryOut(r *run) {
	proxy := r.endpoint(a.Endpoint).proxy
	proxy.SetDelay(responseDelay)
	time.Sleep(a.Length)
	proxy.SetDelay(0)
}
