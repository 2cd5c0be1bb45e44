package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// endpointActions are the actions on an endpoint, which each take a length of time.
var endpointActions = []func(EndpointID, time.Duration) Action{
	func(id EndpointID, length time.Duration) Action { return DrainEndpoint{id, length} },
	func(id EndpointID, length time.Duration) Action { return RestartEndpoint{id, length} },
	func(id EndpointID, length time.Duration) Action { return HangEndpoint{id, length} },
	func(id EndpointID, length time.Duration) Action { return PartitionEndpoint{id, length} },
	func(id EndpointID, length time.Duration) Action { return ResetConnections{id, length} },
	func(id EndpointID, length time.Duration) Action { return DelayResponses{id, length} },
}

// sidecarActions are the actions on a sidecar, of which a shutdown is twice as frequent. Only a reload takes the length of time.
var sidecarActions = []func(SidecarID, time.Duration) Action{
	func(id SidecarID, _ time.Duration) Action { return ShutdownSidecar{id} },
	func(id SidecarID, _ time.Duration) Action { return ShutdownSidecar{id} },
	func(id SidecarID, _ time.Duration) Action { return KillSidecar{id} },
	func(id SidecarID, length time.Duration) Action { return ReloadSidecar{id, length} },
	func(id SidecarID, _ time.Duration) Action { return UpgradeSidecar{id} },
}

// clockSteps are the steps of the wall clock.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}

// eventDraw draws the events of a plan.
type eventDraw struct {
	plan   *Plan
	random *rand.Rand
	events []Event
}

// drawEvents returns the events of a plan, all in the middle of the run. At most half of the endpoints have one, and each
// sidecar is ended or reloaded once at most.
func drawEvents(plan *Plan, random *rand.Rand) []Event {
	draw := &eventDraw{plan: plan, random: random}
	draw.addEndpointEvents()
	for number := range plan.Sidecars {
		draw.addSidecarEvents(sidecarID(number))
	}
	draw.addCommonEvents()
	slices.SortFunc(draw.events, func(a, b Event) int { return int(a.At - b.At) })
	return draw.events
}

// add adds an event at a random moment.
func (d *eventDraw) add(action Action) {
	at := d.randomDuration(d.plan.TrafficDuration/8, d.plan.TrafficDuration*5/8)
	d.events = append(d.events, Event{At: at, Action: action})
}

// between returns a time span between two.
func (d *eventDraw) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Float64()*float64(high-low))
}

// randomOutageDuration returns the length of an outage of an endpoint or of discovery.
func (d *eventDraw) randomOutageDuration() time.Duration {
	return d.randomDuration(500*time.Millisecond, 2*time.Second)
}

// addEndpointEvents adds one event to each of some endpoints, so that two events do not undo each other.
func (d *eventDraw) addEndpointEvents() {
	count := 1 + d.random.IntN(max(1, d.plan.Endpoints/2))
	for number := range count {
		newAction := endpointActions[d.random.IntN(len(endpointActions))]
		d.add(newAction(endpointID(number), d.randomOutageDuration()))
	}
}

// addSidecarEvents adds the events of a sidecar.
func (d *eventDraw) addSidecarEvents(id SidecarID) {
	if d.random.IntN(3) > 0 {
		newAction := sidecarActions[d.random.IntN(len(sidecarActions))]
		d.add(newAction(id, time.Duration(d.random.IntN(3))*reloadInterval))
	}
	for range d.random.IntN(4) {
		d.add(SuspendSidecar{id, d.randomDuration(20*time.Millisecond, 150*time.Millisecond)})
	}
}

// addCommonEvents adds the events that concern all sidecars. The clock can be stepped only where faults are injected.
func (d *eventDraw) addCommonEvents() {
	if d.random.IntN(3) == 0 {
		d.add(DiscoveryOutage{d.randomOutageDuration()})
	}
	if d.plan.SystemCallFaults.enabled() && d.random.IntN(2) == 0 {
		d.add(StepClock{clockSteps[d.random.IntN(len(clockSteps))]})
	}
}
