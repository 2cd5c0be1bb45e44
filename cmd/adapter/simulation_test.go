package main

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// This file simulates the environment of the adapter for TestGolden: clients, discovery and a small number of
// endpoints that sometimes fail. They react to the actions of the adapter. The simulation covers much of the decision
// code and generates the same events in every run; it does not have to resemble a real deployment. All times are in
// milliseconds.

const (
	simulatedZones          = 3
	minSimulatedEndpoints   = 14    // number of endpoints in the cases with the fewest
	invalidSettingsInstance = 4000  // number of an instance that gets invalid settings
	responseGrace           = 20    // milliseconds
	connectTimeout          = 100   // milliseconds
	instanceNumberSpacing   = 21845 // a third of the range of instance numbers
	missingFromCachedList   = 2     // number of endpoints that a cached list lacks
)

// scheduledEvent is an event that occurs at a time. Its records are determined only then; there are none if the event
// no longer applies.
type scheduledEvent struct {
	due      float64
	sequence int // order among events that are due at the same time
	records  func() []recordBuilder
}

// simulation is the environment of an adapter.
type simulation struct {
	random          *rand.Rand
	caseNumber      int
	clock           float64
	batchInterval   float64 // the key quantum_ms
	classes         []simulatedClass
	sharedSettings  map[string]any // the settings that all instances share
	polledDiscovery bool
	reportMode      string
	reportFields    []string
	maxAttempts     int // the key limits.max_attempts
	instances       []*simulatedInstance
	endpoints       []*simulatedEndpoint
	requests        map[uint64]*simulatedRequest
	scheduled       []scheduledEvent
	scheduledCount  int    // number of events ever scheduled
	lastTable       uint16 // number of the last server table
	listVersion     uint32 // version of the last endpoint list
	expectedFaults  int    // number of faults that the adapter must report
}

// newSimulation returns the simulation of a case. The number of the case seeds all its random numbers.
func newSimulation(number int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(0x5eed, uint64(number))), caseNumber: number, requests: map[uint64]*simulatedRequest{},
	}
	sim.clock = 5000 + sim.random.Float64()*1e5
	sim.addRandomClasses()
	sim.setRandomSettings()
	sim.addRandomEndpoints()
	for i := range 2 + sim.random.IntN(2) {
		sim.instances = append(sim.instances, &simulatedInstance{
			number: uint16(i*instanceNumberSpacing + sim.random.IntN(1000)), index: i,
		})
	}
	return sim
}

// pickRandom returns one of the values at random.
func pickRandom[T any](sim *simulation, values ...T) T { return values[sim.random.IntN(len(values))] }

// randomBetween returns a random number that is at least low and less than high.
func (sim *simulation) randomBetween(low, high float64) float64 {
	return low + sim.random.Float64()*(high-low)
}

// randomChance returns true with the given probability.
func (sim *simulation) randomChance(probability float64) bool {
	return sim.random.Float64() < probability
}

// schedule schedules an event. The function records is called when the event is due.
func (sim *simulation) schedule(due float64, records func() []recordBuilder) {
	sim.scheduledCount++
	sim.scheduled = append(sim.scheduled, scheduledEvent{due, sim.scheduledCount, records})
}

// nextRecords advances the clock and returns the records of the next frame.
func (sim *simulation) nextRecords(frame int) []recordBuilder {
	var records []recordBuilder
	if frame == 0 {
		return nil // the first frame is empty
	}
	sim.clock += sim.batchInterval * pickRandom(sim, 1.0, 1, 2, 3, 5, 10, 20, 40)
	if sim.randomChance(0.01) {
		sim.clock += sim.randomBetween(500, 3000)
	}
	if frame == 1 {
		records = sim.startInstances()
	}
	sim.changeEndpoints(frame)
	// Instances stop and restart before other events, so that all actions of a reply are those of the present
	// incarnation of their instance.
	records = append(records, sim.restartInstances()...)
	for _, event := range sim.takeDueEvents() {
		records = append(records, event.records()...)
	}
	return append(records, sim.nextClientRecords(frame)...)
}

// takeDueEvents removes the events that are due, and returns them in the order of their times.
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
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
	})
	return due
}

// unknownReference says whether an action refers to an unknown endpoint, request or attempt. If not, it is empty.
func (sim *simulation) unknownReference(action actionRecord) string {
	endpointOffset := -1 // no endpoint
	switch action.code {
	case actionSendAttempt:
		endpointOffset = sendAttemptEndpointOffset
	case actionCheckHealth, actionCloseIdleConns:
		endpointOffset = 0
	}
	if endpointOffset >= 0 && sim.endpointAt(action.address(endpointOffset)) == nil {
		return "unknown endpoint"
	}
	switch action.code {
	case actionSendAttempt, actionRejectRequest, actionFailRequest, actionCancelAttempt:
		request := sim.requests[action.u64(0)]
		if request == nil || request.instance.number != action.instance {
			return "unknown request"
		}
		if action.code == actionCancelAttempt && int(action.body[cancelAttemptNumberOffset]) >= len(request.attempts) {
			return "unknown attempt"
		}
	}
	return ""
}

// applyAction performs an action and schedules the events that result from it.
func (sim *simulation) applyAction(action actionRecord) {
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
		sim.sendAttempt(sim.requests[action.u64(0)], action.f64(sendAttemptDeadlineOffset),
			action.address(sendAttemptEndpointOffset))
	case actionRejectRequest, actionFailRequest:
		sim.requests[action.u64(0)].finished = true
	case actionCancelAttempt:
		sim.cancelAttempt(sim.requests[action.u64(0)], int(action.body[cancelAttemptNumberOffset]))
	case actionSetTimer:
		token := action.u64(0)
		delay := action.f64(timerDelayOffset)
		sim.schedule(sim.clock+delay, sim.whileRunning(instance, func() []recordBuilder {
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
