package main

// simulatedInstance is an instance that the adapter runs.
type simulatedInstance struct {
	number      uint16 // instance number in records
	index       int    // the key my_number of its settings
	incarnation int    // number of times it was started
	running     bool
	subscribed  bool
}

// startInstances returns records that start all instances. They also start an instance with invalid settings and send
// it a request, which the adapter must ignore.
func (sim *simulation) startInstances() []recordBuilder {
	var records []recordBuilder
	for _, instance := range sim.instances {
		records = append(records, sim.startInstance(instance)...)
	}
	invalid := pickRandom(sim, `{"classes": []}`, `{`, ``, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`)
	sim.expectedFaults++
	return append(records,
		newRecord(eventInstanceStarted, invalidSettingsInstance).u64(1).u32(uint32(len(invalid))).text(invalid),
		requestRecord(invalidSettingsInstance, 1, 0, 100))
}

// startInstance returns records that start an instance. Its first endpoint list is a cached one, which lacks some
// endpoints.
func (sim *simulation) startInstance(instance *simulatedInstance) []recordBuilder {
	instance.running, instance.subscribed = true, !sim.polledDiscovery
	instance.incarnation++
	document := sim.settingsDocument(instance.index)
	records := []recordBuilder{newRecord(eventInstanceStarted, instance.number).u64(sim.random.Uint64()).
		u32(uint32(len(document))).text(document)}
	cached := sim.listedEndpoints()[missingFromCachedList:]
	records = append(records, sim.endpointUpdates(updateCachedSnapshot, cached, instance)...)
	if !sim.polledDiscovery {
		sim.schedule(sim.clock+sim.randomBetween(0, 200), sim.whileRunning(instance, func() []recordBuilder {
			return sim.endpointUpdates(updateSnapshot, sim.listedEndpoints(), instance)
		}))
	}
	return records
}

// whileRunning returns a function that calls records, but returns no records if the present incarnation of the
// instance has stopped by then.
func (sim *simulation) whileRunning(
	instance *simulatedInstance, records func() []recordBuilder,
) func() []recordBuilder {
	incarnation := instance.incarnation
	return func() []recordBuilder {
		if !instance.running || instance.incarnation != incarnation {
			return nil
		}
		return records()
	}
}

// restartInstances returns records that stop and start instances, end subscriptions and deliver messages from peers,
// each at random.
func (sim *simulation) restartInstances() []recordBuilder {
	var records []recordBuilder
	for _, instance := range sim.instances {
		switch {
		case !instance.running && sim.randomChance(0.1):
			records = append(records, sim.startInstance(instance)...)
		case instance.running && sim.randomChance(0.004):
			instance.running = false
			records = append(records, newRecord(eventInstanceStopped, instance.number))
			if sim.randomChance(0.5) {
				records = append(records, sim.startInstance(instance)...)
			}
		case instance.running && sim.polledDiscovery && instance.subscribed && sim.randomChance(0.01):
			instance.subscribed = false
			records = append(records, failedUpdate(instance))
		case instance.running && sim.randomChance(0.02):
			sender := uint16(sim.random.IntN(9))
			message := "hello"
			records = append(records, newRecord(eventPeerMessage, instance.number).u16(sender).u16(uint16(len(message))).
				text(message))
		}
	}
	return records
}
