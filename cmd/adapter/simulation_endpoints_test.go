package main

import "slices"

// States of endpoints in a server table.
const (
	stateReady    = 0
	stateGone     = 1
	stateDraining = 2
)

// simulatedEndpoint is an endpoint and its present failure.
type simulatedEndpoint struct {
	address           uint64
	state             uint8
	startedAt         float64
	rating            float32
	cell              uint16
	zone, machineType uint8
	slowness          float64
	failure           uint16 // the result of attempts until failingUntil; resultOK: none
	failingUntil      float64
	inFlight          int
}

// drawEndpoints draws the endpoints; the decision code treats large numbers of them differently.
func (sim *simulation) drawEndpoints() {
	for i := range simulatedEndpointCount + sim.number%3*10 {
		sim.endpoints = append(sim.endpoints, &simulatedEndpoint{
			address: sim.random.Uint64N(1<<32)<<16 | uint64(1+sim.random.IntN(65535)), rating: float32(sim.between(0.5, 2)),
			cell: uint16(i / 3), zone: uint8(i % simulatedZones), machineType: uint8(sim.random.IntN(2)), slowness: sim.between(0.6, 1.6),
		})
	}
}

// listedEndpoints returns the endpoints of a complete list.
func (sim *simulation) listedEndpoints() []*simulatedEndpoint {
	return slices.DeleteFunc(slices.Clone(sim.endpoints), func(endpoint *simulatedEndpoint) bool { return endpoint.state == stateGone })
}

// serverTable returns the record of a server table.
func (sim *simulation) serverTable(table uint16, endpoints []*simulatedEndpoint) recordBuilder {
	record := newRecord(eventServerTable, table).u32(uint32(len(endpoints)))
	for _, endpoint := range endpoints {
		record = record.f64(endpoint.startedAt).u8(endpoint.state).address(endpoint.address).f32(endpoint.rating).
			u16(endpoint.cell).u8(endpoint.zone).u8(endpoint.machineType)
	}
	return record
}

// endpointUpdates returns a server table and, for each instance, an endpoint update that refers to it.
func (sim *simulation) endpointUpdates(kind uint8, endpoints []*simulatedEndpoint, instances ...*simulatedInstance) []recordBuilder {
	sim.table, sim.version = (sim.table+1)%16, sim.version+1
	records := []recordBuilder{sim.serverTable(sim.table, endpoints)}
	for _, instance := range instances {
		records = append(records, newRecord(eventEndpointUpdate, instance.number).u8(kind).u32(sim.version).u16(sim.table))
	}
	return records
}

// failedUpdate returns the record of a failed request to discovery.
func failedUpdate(instance *simulatedInstance) recordBuilder {
	return newRecord(eventEndpointUpdate, instance.number).u8(updateFailed).u32(0).u16(0xffff)
}

// changeEndpoints changes lists and failures. A zone fails in the middle of the case.
func (sim *simulation) changeEndpoints(frame int) {
	if sim.chance(0.06) {
		sim.changeEndpointList()
	}
	if sim.chance(0.05) {
		endpoint := pick(sim, sim.endpoints...)
		endpoint.failure = pick[uint16](sim, resultServerError, resultRejected, resultTimedOut, resultConnReset, resultConnectFailed)
		endpoint.failingUntil = sim.clock + sim.between(100, 4000)
	}
	if frame == goldenFrames*2/5 {
		for _, endpoint := range sim.endpoints {
			if endpoint.zone == uint8(sim.number%simulatedZones) {
				endpoint.failure, endpoint.failingUntil = pick[uint16](sim, resultConnectFailed, resultTimedOut), sim.clock+3000
			}
		}
	}
}

// changeEndpointList changes one endpoint and sends the change to the subscribed instances.
func (sim *simulation) changeEndpointList() {
	endpoint := pick(sim, sim.endpoints...)
	switch {
	case endpoint.state == stateDraining:
		endpoint.state = stateGone
	case endpoint.state == stateGone || sim.chance(0.4):
		endpoint.state, endpoint.startedAt = stateReady, sim.clock
	case sim.chance(0.6):
		endpoint.state = stateDraining
	default:
		endpoint.rating = float32(sim.between(0.5, 2))
	}
	entry := *endpoint
	sim.schedule(sim.clock+sim.between(0, 100), func() []recordBuilder {
		var instances []*simulatedInstance
		for _, instance := range sim.instances {
			if instance.running && instance.subscribed {
				instances = append(instances, instance)
			}
		}
		if len(instances) == 0 {
			return nil
		}
		if sim.chance(0.2) {
			return sim.endpointUpdates(updateSnapshot, sim.listedEndpoints(), instances...)
		}
		return sim.endpointUpdates(updateDelta, []*simulatedEndpoint{&entry}, instances...)
	})
}

// endpointAt returns the endpoint at an address, or nil.
func (sim *simulation) endpointAt(address uint64) *simulatedEndpoint {
	for _, endpoint := range sim.endpoints {
		if endpoint.address == address {
			return endpoint
		}
	}
	return nil
}

// drawResult draws the result of work at an endpoint, and its duration in milliseconds.
func (sim *simulation) drawResult(endpoint *simulatedEndpoint, work float64) (result uint16, duration float64) {
	duration = (work + sim.between(1, 10)) * endpoint.slowness * (1 + float64(endpoint.inFlight)/8)
	if endpoint.state == stateGone {
		return resultConnectFailed, connectTimeout
	}
	if endpoint.state == stateDraining && sim.chance(0.5) || endpoint.inFlight > 60 {
		return resultRejected, sim.between(1, 3)
	}
	failure := endpoint.failure
	if sim.clock >= endpoint.failingUntil {
		failure = resultOK
		if sim.chance(0.03) {
			failure = pick[uint16](sim, resultServerError, resultConnReset, resultRejected, resultTimedOut)
		}
	}
	switch failure {
	case resultTimedOut:
		duration = 1e6
	case resultConnectFailed:
		duration = connectTimeout
	case resultRejected:
		duration = sim.between(1, 3)
	}
	return failure, duration
}

// loadReport draws a load report with noise.
func (sim *simulation) loadReport(endpoint *simulatedEndpoint) []float32 {
	var report []float32
	for _, name := range sim.reportFields {
		value := float64(endpoint.inFlight) * sim.between(0.7, 1.3)
		if name == "busy" {
			value = min(1, value/8)
		}
		report = append(report, float32(value))
	}
	return report
}

// sendEndpoints schedules the response of discovery to an instance; some fail.
func (sim *simulation) sendEndpoints(instance *simulatedInstance, subscribe bool) {
	failed := sim.chance(0.3)
	sim.schedule(sim.clock+sim.between(1, 400), sim.whileRunning(instance, func() []recordBuilder {
		if failed {
			return []recordBuilder{failedUpdate(instance)}
		}
		instance.subscribed = subscribe
		return sim.endpointUpdates(pick[uint8](sim, updateSnapshot, updateSnapshot, updateDelta), sim.listedEndpoints(), instance)
	}))
}
