package balance

import "testing"

// instanceSimulation runs one instance on simulated time.
type instanceSimulation struct {
	*harness
	hangs        func(EndpointID) bool         // the endpoint accepts attempts, but never responds
	latency      func(EndpointID) Milliseconds // response time of an endpoint that does not hang
	sent         map[EndpointID]int            // attempts sent to each endpoint
	healthChecks int                           // health checks sent
	logLines     int                           // messages logged
	served       int                           // successful attempts
	events       []timedEvent                  // future events, in no order
}

// timedEvent is an event and the time at which the balancer gets it.
type timedEvent struct {
	at    Milliseconds
	event Event
}

// newInstanceSimulation returns a simulation of one of several instances. All endpoints respond in 5 ms.
func newInstanceSimulation(t *testing.T, number, instances int, endpoints []Endpoint) *instanceSimulation {
	t.Helper()
	cfg := largeFleetConfig(number, instances)
	cfg.HealthChecks = true // of zones in an outage; without load reports, none precede requests
	cfg.Costs = Costs{NewConnection: 0.12}
	cfg.ConnIdleTimeout, cfg.Classes[idempotentClass].Deadline = 8000, 1200
	sim := &instanceSimulation{harness: newHarness(t, cfg, endpoints...), sent: map[EndpointID]int{}}
	sim.hangs = func(EndpointID) bool { return false }
	sim.latency = func(EndpointID) Milliseconds { return 5 }
	sim.randomizeRotation()
	return sim
}

// handle passes an event to the balancer and adds the events that its actions cause.
func (sim *instanceSimulation) handle(ev Event) {
	sim.t.Helper()
	if out, ok := ev.(Outcome); ok {
		req := sim.b.requests[out.Request]
		if req == nil || !req.attempts[out.Attempt].inFlight { // the attempt has been cancelled
			return
		}
		out.Finished = out.Result == OK || req.finished
		if ev = out; out.Result == OK {
			sim.served++
		}
	}
	for _, a := range sim.dispatch(ev) {
		switch a.Kind {
		case SendAttempt:
			sim.sent[a.Endpoint]++
			index := len(sim.b.requests[a.Request].attempts) - 1
			after := sim.latency(a.Endpoint)
			out := Outcome{Request: a.Request, Attempt: index, Endpoint: a.Endpoint, Duration: after}
			if sim.hangs(a.Endpoint) {
				out.Result, out.Duration = TimedOut, 1200
				after = sim.b.requests[a.Request].deadline - sim.now
			}
			sim.events = append(sim.events, timedEvent{sim.now + after, out})
		case CancelAttempt:
			target := sim.b.requests[a.Request].attempts[a.Attempt].endpoint.ID
			sim.events = append(sim.events, timedEvent{sim.now, Outcome{Request: a.Request, Attempt: a.Attempt,
				Endpoint: target, Result: Cancelled}})
		case SetTimer:
			sim.events = append(sim.events, timedEvent{sim.now + a.Delay, TimerFired{Token: a.Token}})
		case Log:
			sim.logLines++
		case CheckHealth:
			sim.healthChecks++
			res := HealthCheckResult{Endpoint: a.Endpoint, Duration: 1, LoadReport: []float32{0}}
			if sim.hangs(a.Endpoint) {
				res = HealthCheckResult{Endpoint: a.Endpoint, Result: TimedOut, Duration: 350}
			}
			sim.events = append(sim.events, timedEvent{sim.now + res.Duration, res})
		}
	}
}

// run sends a request in each interval until the given time, with 200 sticky keys one after the other.
func (sim *instanceSimulation) run(until, interval Milliseconds) {
	sim.t.Helper()
	for next := sim.now; ; {
		first := -1
		for i := range sim.events {
			if sim.events[i].at <= next && (first < 0 || sim.events[i].at < sim.events[first].at) {
				first = i
			}
		}
		if first >= 0 {
			ev := sim.events[first]
			sim.events = append(sim.events[:first], sim.events[first+1:]...)
			sim.now = max(sim.now, ev.at)
			sim.handle(ev.event)
			continue
		}
		if next >= until {
			sim.now = until
			return
		}
		sim.now = next
		sim.lastRequest++
		key := uint64(sim.lastRequest%200 + 1)
		sim.handle(Request{ID: sim.lastRequest, Class: idempotentClass, StickyKey: key, Remaining: 1200})
		next += interval
	}
}

// sentToZone returns the number of attempts sent to the endpoints of a zone.
func (sim *instanceSimulation) sentToZone(endpoints []Endpoint, zone int) (n int) {
	for _, ep := range endpoints {
		if ep.Zone == zone {
			n += sim.sent[ep.ID]
		}
	}
	return n
}
