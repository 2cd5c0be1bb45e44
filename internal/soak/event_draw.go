package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// endpointActions are the constructors of the actions on an endpoint, which are equally probable.
var endpointActions = []func(EndpointID, time.Duration) Action{
	func(id EndpointID, duration time.Duration) Action { return DrainEndpoint{id, duration} },
	func(id EndpointID, duration time.Duration) Action { return RestartEndpoint{id, duration} },
	func(id EndpointID, duration time.Duration) Action { return HangEndpoint{id, duration} },
	func(id EndpointID, duration time.Duration) Action { return PartitionEndpoint{id, duration} },
	func(id EndpointID, duration time.Duration) Action { return ResetConnections{id, duration} },
	func(id EndpointID, duration time.Duration) Action { return DelayResponses{id, duration} },
}

// sidecarActions are the constructors of the actions that end or reload a sidecar. ShutdownSidecar is listed twice to
// make it twice as probable as each other one. Only ReloadSidecar has a duration.
var sidecarActions = []func(SidecarID, time.Duration) Action{
	func(id SidecarID, _ time.Duration) Action { return ShutdownSidecar{id} },
	func(id SidecarID, _ time.Duration) Action { return ShutdownSidecar{id} },
	func(id SidecarID, _ time.Duration) Action { return KillSidecar{id} },
	func(id SidecarID, duration time.Duration) Action { return ReloadSidecar{id, duration} },
	func(id SidecarID, _ time.Duration) Action { return UpgradeSidecar{id} },
}

// clockSteps are the steps of the wall clock, which are equally probable.
var clockSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}

const (
	// All events begin between these eighths of the duration of the traffic.
	firstEventEighths = 1
	lastEventEighths  = 5

	// minOutageDuration and maxOutageDuration bound the duration of an action on an endpoint or discovery.
	minOutageDuration = 500 * time.Millisecond
	maxOutageDuration = 2 * time.Second

	// maxReloadIntervals is the maximum duration of a series of reloads, in units of reloadInterval.
	maxReloadIntervals = 2

	// maxSuspensions is the maximum number of suspensions per sidecar. Their durations are between the other two values.
	maxSuspensions        = 3
	minSuspensionDuration = 20 * time.Millisecond
	maxSuspensionDuration = 150 * time.Millisecond

	// On average, one sidecar in oneInNoSidecarAction has none of sidecarActions, one plan in oneInDiscoveryOutage has a
	// DiscoveryOutage, and one plan with injected faults in oneInClockStep has a StepClock.
	oneInNoSidecarAction = 3
	oneInDiscoveryOutage = 3
	oneInClockStep       = 2
)

// eventDraw draws the events of a plan from its random numbers.
type eventDraw struct {
	plan   *Plan
	random *rand.Rand
	events []Event
}

// drawEvents returns the events of a plan, sorted by time. At most half of the endpoints have an event. Each sidecar
// is ended or reloaded by at most one event.
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

// add adds an event at a random time.
func (d *eventDraw) add(action Action) {
	at := d.randomDuration(d.plan.TrafficDuration*firstEventEighths/8, d.plan.TrafficDuration*lastEventEighths/8)
	d.events = append(d.events, Event{At: at, Action: action})
}

// randomDuration returns a duration of at least low and less than high.
func (d *eventDraw) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Float64()*float64(high-low))
}

// randomOutageDuration returns the duration of an action on an endpoint or discovery.
func (d *eventDraw) randomOutageDuration() time.Duration {
	return d.randomDuration(minOutageDuration, maxOutageDuration)
}

// addEndpointEvents adds events for some of the endpoints. An endpoint has at most one event, so that no event undoes
// another one.
func (d *eventDraw) addEndpointEvents() {
	count := 1 + d.random.IntN(max(1, d.plan.Endpoints/2))
	for number := range count {
		newAction := endpointActions[d.random.IntN(len(endpointActions))]
		d.add(newAction(endpointID(number), d.randomOutageDuration()))
	}
}

// addSidecarEvents adds the events of a sidecar.
func (d *eventDraw) addSidecarEvents(id SidecarID) {
	if d.random.IntN(oneInNoSidecarAction) > 0 {
		newAction := sidecarActions[d.random.IntN(len(sidecarActions))]
		d.add(newAction(id, time.Duration(d.random.IntN(maxReloadIntervals+1))*reloadInterval))
	}
	for range d.random.IntN(maxSuspensions + 1) {
		d.add(SuspendSidecar{id, d.randomDuration(minSuspensionDuration, maxSuspensionDuration)})
	}
}

// addCommonEvents adds the events that affect all sidecars. The clock of a sidecar can be stepped only if faults are
// injected into it, because the sidecar as shipped does not read the file with the step.
func (d *eventDraw) addCommonEvents() {
	if d.random.IntN(oneInDiscoveryOutage) == 0 {
		d.add(DiscoveryOutage{d.randomOutageDuration()})
	}
	if d.plan.SystemCallFaults.enabled() && d.random.IntN(oneInClockStep) == 0 {
		d.add(StepClock{clockSteps[d.random.IntN(len(clockSteps))]})
	}
}
