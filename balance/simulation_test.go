package balance

import "testing"

// instanceSimulation runs one instance on simulated time. Endpoints for which hangs is true accept attempts
// and never respond; the others respond after the time that latency returns.
type instanceSimulation struct {
	*harness
	hangs        func(EndpointID) bool
	latency      func(EndpointID) Milliseconds
	sent         map[EndpointID]int
	healthChecks int
	logLines     int
	served       int
	events       []timedEvent
}

// timedEvent is an event that the balancer gets at the given time.
type timedEvent struct {
	at    Milliseconds
	event Event
}

// newInstanceSimulation returns a simulation of one of several instances in which all endpoints respond in 5
// ms.
func newInstanceSimulation(t *testing.T, number, instances int, endpoints []Endpoint) *instanceSimulation {
	t.Helper()
	cfg := largeFleetConfig(number, instances)
	cfg.HealthChecks, cfg.LoadReports, cfg.LoadReportFields =
		true, LoadReportsPolled, []LoadField{LoadFieldInFlight}
	cfg.Costs = Costs{NewConnection: 0.12, HealthCheck: 0.08}
	cfg.ConnIdleTimeout, cfg.Classes[idempotentClass].Deadline = 8000, 1200
	sim := &instanceSimulation{harness: newHarness(t, cfg, endpoints...), sent: map[EndpointID]int{}}
	sim.hangs = func(EndpointID) bool { return false }
	sim.latency = func(EndpointID) Milliseconds { return 5 }
	sim.randomizeRotation()
	return sim
}

// handle gives the balancer an event and plans what follows from its actions.
func (sim *instanceSimulation) handle(ev Event) {
	sim.t.Helper()
	if out, ok := ev.(Outcome); ok {
		req := sim.b.requests[out.Request]
		if req == nil || !req.attempts[out.Attempt].inFlight { // cancelled meanwhile
			return
		}
		out.Finished = out.Result == OK || req.done
		if ev = out; out.Result == OK {
			sim.served++
		}
	}
	for _, a := range sim.dispatch(ev) {
		switch a.Kind {
		case SendAttempt:
			sim.sent[a.Endpoint]++
			at := len(sim.b.requests[a.Request].attempts) - 1
			after := sim.latency(a.Endpoint)
			out := Outcome{Request: a.Request, Attempt: at, Endpoint: a.Endpoint, Duration: after}
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
			res, after := HealthCheckResult{Endpoint: a.Endpoint, Duration: 1, LoadReport: []float32{0}}, Milliseconds(1)
			if sim.hangs(a.Endpoint) {
				res, after = HealthCheckResult{Endpoint: a.Endpoint, Result: TimedOut, Duration: 350}, 350
			}
			sim.events = append(sim.events, timedEvent{sim.now + after, res})
		}
	}
}

// run sends a request every so many milliseconds until the given time, with keys in turn.
func (sim *instanceSimulation) run(until, every Milliseconds) {
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
		sim.handle(Request{ID: sim.lastRequest, Class: idempotentClass, StickyKey: uint64(sim.lastRequest%200 + 1), Remaining: 1200})
		next += every
	}
}

// sentToZone returns the number of attempts that were sent to the endpoints of a zone.
func (sim *instanceSimulation) sentToZone(endpoints []Endpoint, zone int) (n int) {
	for _, s := range endpoints {
		if s.Zone == zone {
			n += sim.sent[s.ID]
		}
	}
	return n
}
