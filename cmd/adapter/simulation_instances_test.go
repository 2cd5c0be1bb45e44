package main

// simulatedInstance is one instance of the adapter.
type simulatedInstance struct {
	number      uint16 // in records
	index       int    // the my_number of its settings
	incarnation int    // number of its starts
	running     bool
	subscribed  bool
}

// startInstances starts all instances, and one whose settings are invalid.
func (sim *simulation) startInstances() []recordBuilder {
	var records []recordBuilder
	for _, instance := range sim.instances {
		records = append(records, sim.startInstance(instance)...)
	}
	invalid := pick(sim, `{"classes": []}`, `{`, ``, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`)
	sim.expectedFaults++
	return append(records, newRecord(eventInstanceStarted, invalidInstance).u64(1).u32(uint32(len(invalid))).text(invalid),
		requestRecord(invalidInstance, 1, 0, 100))
}

// startInstance starts an instance with a cached list, from which some endpoints are missing.
func (sim *simulation) startInstance(instance *simulatedInstance) []recordBuilder {
	instance.running, instance.subscribed = true, !sim.polledDiscovery
	instance.incarnation++
	profile := sim.profile(instance.index)
	records := []recordBuilder{newRecord(eventInstanceStarted, instance.number).u64(sim.random.Uint64()).
		u32(uint32(len(profile))).text(profile)}
	records = append(records, sim.endpointUpdates(updateCachedSnapshot, sim.listedEndpoints()[hiddenEndpoints:], instance)...)
	if !sim.polledDiscovery {
		sim.schedule(sim.clock+sim.between(0, 200), sim.whileRunning(instance, func() []recordBuilder {
			return sim.endpointUpdates(updateSnapshot, sim.listedEndpoints(), instance)
		}))
	}
	return records
}

// whileRunning returns a play function without records once the present incarnation of the instance has stopped.
func (sim *simulation) whileRunning(instance *simulatedInstance, play func() []recordBuilder) func() []recordBuilder {
	incarnation := instance.incarnation
	return func() []recordBuilder {
		if !instance.running || instance.incarnation != incarnation {
			return nil
		}
		return play()
	}
}

// restartInstances stops and starts instances, ends subscriptions and sends messages of peers.
func (sim *simulation) restartInstances() []recordBuilder {
	var records []recordBuilder
	for _, instance := range sim.instances {
		switch {
		case !instance.running && sim.chance(0.1):
			records = append(records, sim.startInstance(instance)...)
		case instance.running && sim.chance(0.004):
			instance.running = false
			records = append(records, newRecord(eventInstanceStopped, instance.number))
			if sim.chance(0.5) {
				records = append(records, sim.startInstance(instance)...)
			}
		case instance.running && sim.polledDiscovery && instance.subscribed && sim.chance(0.01):
			instance.subscribed = false
			records = append(records, failedUpdate(instance))
		case instance.running && sim.chance(0.02):
			records = append(records, newRecord(eventPeerMessage, instance.number).u16(uint16(sim.random.IntN(9))).u16(5).text("hello"))
		}
	}
	return records
}
