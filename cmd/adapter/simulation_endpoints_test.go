package main

import "slices"

// States of endpoints in a server table.
const (
	stateReady    = 0
	stateGone     = 1
	stateDraining = 2
)

const (
	endpointConcurrency = 8    // requests in flight that double the duration of an attempt and use all of the CPU
	maxInFlight         = 60   // endpoints with more requests in flight reject attempts
	hangDuration        = 1e6  // milliseconds; longer than the deadline of any request
	zoneOutageDuration  = 3000 // milliseconds
	zoneOutageFrame     = goldenFrames * 2 / 5
	serverTableCount    = 16 // the adapter accepts the table numbers 0 to 15
)

// simulatedEndpoint is an endpoint with its state, load and current failure.
type simulatedEndpoint struct {
	address           uint64 // IPv4 address and port, as in a balance.EndpointID
	state             uint8
	startedAt         float64 // time
	rating            float32
	cell              uint16
	zone, machineType uint8
	slowness          float64 // factor on the duration of attempts
	failure           uint16  // result of attempts until failingUntil; resultOK: no failure
	failingUntil      float64 // time
	inFlight          int
}

// addRandomEndpoints generates the endpoints. Their number depends on the case, because the balancer treats large
// numbers of endpoints differently.
func (sim *simulation) addRandomEndpoints() {
	for i := range minSimulatedEndpoints + sim.caseNumber%3*10 {
		sim.endpoints = append(sim.endpoints, &simulatedEndpoint{
			address: sim.random.Uint64N(1<<32)<<16 | uint64(1+sim.random.IntN(65535)),
			rating:  float32(sim.randomBetween(0.5, 2)),
			cell:    uint16(i / 3), zone: uint8(i % simulatedZones), machineType: uint8(sim.random.IntN(2)),
			slowness: sim.randomBetween(0.6, 1.6),
		})
	}
}

// listedEndpoints returns the endpoints of a complete endpoint list: all that are not gone.
func (sim *simulation) listedEndpoints() []*simulatedEndpoint {
	return slices.DeleteFunc(slices.Clone(sim.endpoints), func(endpoint *simulatedEndpoint) bool {
		return endpoint.state == stateGone
	})
}

// serverTable returns a record with a server table.
func (sim *simulation) serverTable(table uint16, endpoints []*simulatedEndpoint) recordBuilder {
	record := newRecord(eventServerTable, table).u32(uint32(len(endpoints)))
	for _, endpoint := range endpoints {
		record = record.f64(endpoint.startedAt).u8(endpoint.state).address(endpoint.address).f32(endpoint.rating).
			u16(endpoint.cell).u8(endpoint.zone).u8(endpoint.machineType)
	}
	return record
}

// endpointUpdates returns a record with a server table and, for each instance, one with an endpoint update that
// refers to the table.
func (sim *simulation) endpointUpdates(
	kind uint8, endpoints []*simulatedEndpoint, instances ...*simulatedInstance,
) []recordBuilder {
	sim.lastTable, sim.listVersion = (sim.lastTable+1)%serverTableCount, sim.listVersion+1
	records := []recordBuilder{sim.serverTable(sim.lastTable, endpoints)}
	for _, instance := range instances {
		update := newRecord(eventEndpointUpdate, instance.number).u8(kind).u32(sim.listVersion).u16(sim.lastTable)
		records = append(records, update)
	}
	return records
}

// failedUpdate returns a record that reports a failed poll or the end of a subscription.
func failedUpdate(instance *simulatedInstance) recordBuilder {
	return newRecord(eventEndpointUpdate, instance.number).u8(updateFailed).u32(0).u16(0xffff)
}

// changeEndpoints changes the endpoint list and the failures of endpoints at random. In one frame, all endpoints of a
// zone start to fail.
func (sim *simulation) changeEndpoints(frame int) {
	if sim.randomChance(0.06) {
		sim.changeEndpointList()
	}
	if sim.randomChance(0.05) {
		endpoint := pickRandom(sim, sim.endpoints...)
		endpoint.failure = pickRandom[uint16](sim, resultServerError, resultRejected, resultTimedOut, resultConnReset,
			resultConnectFailed)
		endpoint.failingUntil = sim.clock + sim.randomBetween(100, 4000)
	}
	if frame == zoneOutageFrame {
		for _, endpoint := range sim.endpoints {
			if endpoint.zone == uint8(sim.caseNumber%simulatedZones) {
				endpoint.failure = pickRandom[uint16](sim, resultConnectFailed, resultTimedOut)
				endpoint.failingUntil = sim.clock + zoneOutageDuration
			}
		}
	}
}

// changeEndpointList changes the state or the rating of an endpoint. Subscribed instances receive the change after a
// delay, as a delta or within a complete list.
func (sim *simulation) changeEndpointList() {
	endpoint := pickRandom(sim, sim.endpoints...)
	switch {
	case endpoint.state == stateDraining:
		endpoint.state = stateGone
	case endpoint.state == stateGone || sim.randomChance(0.4):
		endpoint.state, endpoint.startedAt = stateReady, sim.clock
	case sim.randomChance(0.6):
		endpoint.state = stateDraining
	default:
		endpoint.rating = float32(sim.randomBetween(0.5, 2))
	}
	entry := *endpoint
	sim.schedule(sim.clock+sim.randomBetween(0, 100), func() []recordBuilder {
		var instances []*simulatedInstance
		for _, instance := range sim.instances {
			if instance.running && instance.subscribed {
				instances = append(instances, instance)
			}
		}
		if len(instances) == 0 {
			return nil
		}
		if sim.randomChance(0.2) {
			return sim.endpointUpdates(updateSnapshot, sim.listedEndpoints(), instances...)
		}
		return sim.endpointUpdates(updateDelta, []*simulatedEndpoint{&entry}, instances...)
	})
}

// endpointAt returns the endpoint with an address, or nil.
func (sim *simulation) endpointAt(address uint64) *simulatedEndpoint {
	for _, endpoint := range sim.endpoints {
		if endpoint.address == address {
			return endpoint
		}
	}
	return nil
}

// randomResult returns the result of an attempt or health check at an endpoint, and its duration in milliseconds. The
// work is the service time of the request in milliseconds, without overhead, at an idle endpoint of slowness 1.
func (sim *simulation) randomResult(endpoint *simulatedEndpoint, work float64) (result uint16, duration float64) {
	duration = (work + sim.randomBetween(1, 10)) * endpoint.slowness * (1 + float64(endpoint.inFlight)/endpointConcurrency)
	if endpoint.state == stateGone {
		return resultConnectFailed, connectTimeout
	}
	if endpoint.state == stateDraining && sim.randomChance(0.5) || endpoint.inFlight > maxInFlight {
		return resultRejected, sim.randomBetween(1, 3)
	}
	failure := endpoint.failure
	if sim.clock >= endpoint.failingUntil {
		failure = resultOK
		if sim.randomChance(0.03) {
			failure = pickRandom[uint16](sim, resultServerError, resultConnReset, resultRejected, resultTimedOut)
		}
	}
	switch failure {
	case resultTimedOut:
		duration = hangDuration
	case resultConnectFailed:
		duration = connectTimeout
	case resultRejected:
		duration = sim.randomBetween(1, 3)
	}
	return failure, duration
}

// loadReport returns a load report. Its values are the requests in flight with random noise.
func (sim *simulation) loadReport(endpoint *simulatedEndpoint) []float32 {
	var report []float32
	for _, name := range sim.reportFields {
		value := float64(endpoint.inFlight) * sim.randomBetween(0.7, 1.3)
		if name == "busy" {
			value = min(1, value/endpointConcurrency) // a fraction of the CPU
		}
		report = append(report, float32(value))
	}
	return report
}

// sendEndpoints schedules discovery's response to an instance. Some responses report a failure.
func (sim *simulation) sendEndpoints(instance *simulatedInstance, subscribe bool) {
	failed := sim.randomChance(0.3)
	sim.schedule(sim.clock+sim.randomBetween(1, 400), sim.whileRunning(instance, func() []recordBuilder {
		if failed {
			return []recordBuilder{failedUpdate(instance)}
		}
		instance.subscribed = subscribe
		kind := pickRandom[uint8](sim, updateSnapshot, updateSnapshot, updateDelta)
		return sim.endpointUpdates(kind, sim.listedEndpoints(), instance)
	}))
}
