package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// This file simulates what TestGolden plays to the adapter: clients, discovery and a small set of endpoints with failures,
// which react to the actions of the adapter. It need not resemble a real deployment; it has to reach much of the decision
// code, and to give the same events in every run.

const (
	simulatedZones         = 3
	simulatedEndpointCount = 14
	invalidInstance        = 4000 // the number of an instance whose settings are invalid
	responseGrace          = 20   // milliseconds
	connectTimeout         = 100  // milliseconds
	hiddenEndpoints        = 2    // endpoints that a cached list lacks
)

// scheduledEvent is an event that is due at a time; play returns its records, none if it no longer applies.
type scheduledEvent struct {
	due   float64
	order int
	play  func() []recordBuilder
}

// simulation is the environment of one adapter process.
type simulation struct {
	random          *rand.Rand
	number          int
	clock           float64
	quantum         float64
	classes         []simulatedClass
	sharedSettings  map[string]any // the settings that all instances have in common
	polledDiscovery bool
	reportMode      string
	reportFields    []string
	maxAttempts     int // limits.max_attempts
	instances       []*simulatedInstance
	endpoints       []*simulatedEndpoint
	requests        map[uint64]*simulatedRequest
	scheduled       []scheduledEvent
	scheduledCount  int
	table           uint16
	version         uint32
	expectedFaults  int // number of faults that the adapter has to report
}

// newSimulation draws the settings and the endpoints of a case.
func newSimulation(number int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(0x5eed, uint64(number))), number: number, requests: map[uint64]*simulatedRequest{},
	}
	sim.clock = 5000 + sim.random.Float64()*1e5
	sim.drawClasses()
	sim.drawSettings()
	sim.drawEndpoints()
	for i := range 2 + sim.random.IntN(2) {
		sim.instances = append(sim.instances, &simulatedInstance{number: uint16(i*21845 + sim.random.IntN(1000)), index: i})
	}
	return sim
}

// pick returns a random one of the values.
func pick[T any](sim *simulation, values ...T) T { return values[sim.random.IntN(len(values))] }

// between returns a random number of a range.
func (sim *simulation) between(least, most float64) float64 {
	return least + sim.random.Float64()*(most-least)
}

// chance returns true with a probability.
func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

// schedule adds an event that is due at a time.
func (sim *simulation) schedule(due float64, play func() []recordBuilder) {
	sim.scheduledCount++
	sim.scheduled = append(sim.scheduled, scheduledEvent{due, sim.scheduledCount, play})
}

// nextRecords advances the clock and returns the records of the next frame.
func (sim *simulation) nextRecords(frame int) []recordBuilder {
	var records []recordBuilder
	if frame == 0 {
		return nil // the first frame is empty
	}
	sim.clock += sim.quantum * pick(sim, 1.0, 1, 2, 3, 5, 10, 20, 40)
	if sim.chance(0.01) {
		sim.clock += sim.between(500, 3000)
	}
	if frame == 1 {
		records = sim.startInstances()
	}
	sim.changeEndpoints(frame)
	// Instances stop first: all actions of a reply are then those of the present incarnation of their instance.
	records = append(records, sim.restartInstances()...)
	for _, event := range sim.takeDueEvents() {
		records = append(records, event.play()...)
	}
	return append(records, sim.clientEvents(frame)...)
}

// takeDueEvents removes the events that are due and returns them in order.
func (sim *simulation) takeDueEvents() []scheduledEvent {
	var due, later []scheduledEvent
	for _, event := range sim.scheduled {
		if event.due <= sim.clock {
			due = append(due, event)
		} else {
			later = append(later, event)
		}
	}
	sim.scheduled = later
	slices.SortFunc(due, func(a, b scheduledEvent) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.order, b.order))
	})
	return due
}

// problem returns what is wrong with an action that names an unknown endpoint, request or attempt; empty: nothing.
func (sim *simulation) problem(action actionRecord) string {
	address := -1
	switch action.code {
	case actionSendAttempt:
		address = 16
	case actionCheckHealth, actionCloseIdleConns:
		address = 0
	}
	if address >= 0 && sim.endpointAt(action.address(address)) == nil {
		return "unknown endpoint"
	}
	switch action.code {
	case actionSendAttempt, actionRejectRequest, actionFailRequest, actionCancelAttempt:
		request := sim.requests[action.u64(0)]
		if request == nil || request.instance.number != action.instance {
			return "unknown request"
		}
		if action.code == actionCancelAttempt && int(action.body[8]) >= len(request.attempts) {
			return "unknown attempt"
		}
	}
	return ""
}

// apply schedules what follows from an action.
func (sim *simulation) apply(action actionRecord) {
	var instance *simulatedInstance
	for _, candidate := range sim.instances {
		if candidate.number == action.instance {
			instance = candidate
		}
	}
	if instance == nil || !instance.running {
		return
	}
	switch action.code {
	case actionSendAttempt:
		sim.sendAttempt(sim.requests[action.u64(0)], action.f64(8), action.address(16))
	case actionRejectRequest, actionFailRequest:
		sim.requests[action.u64(0)].done = true
	case actionCancelAttempt:
		sim.cancelAttempt(sim.requests[action.u64(0)], int(action.body[8]))
	case actionSetTimer:
		token := action.u64(0)
		sim.schedule(sim.clock+action.f64(8), sim.whileRunning(instance, func() []recordBuilder {
			return []recordBuilder{newRecord(eventTimerFired, instance.number).u64(token)}
		}))
	case actionCheckHealth:
		sim.checkHealth(instance, action.address(0))
	case actionWatchEndpoints:
		sim.sendEndpoints(instance, action.body[0] != 0)
	case actionFetchEndpoints:
		sim.sendEndpoints(instance, instance.subscribed)
	}
}
