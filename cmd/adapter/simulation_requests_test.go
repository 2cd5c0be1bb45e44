package main

// simulatedAttempt is one attempt of a request at an endpoint.
type simulatedAttempt struct {
	endpoint       *simulatedEndpoint
	sent           float64
	started, ended bool
}

// simulatedRequest is one request of a client.
type simulatedRequest struct {
	id        uint64
	instance  *simulatedInstance
	class     int
	work      float64
	deadline  float64
	done      bool
	streaming bool // the response has started
	attempts  []*simulatedAttempt
}

// clientEvents returns requests, many in the last third of the case, and rarely an event that the adapter has to report as
// a fault.
func (sim *simulation) clientEvents(frame int) []recordBuilder {
	var records []recordBuilder
	most := 3
	if frame > goldenFrames*2/3 {
		most = 14
	}
	for _, instance := range sim.instances {
		if !instance.running {
			continue
		}
		for range sim.random.IntN(most + 1) {
			records = append(records, sim.newRequest(instance))
		}
		if sim.chance(0.003) {
			sim.expectedFaults++
			records = append(records, requestRecord(instance.number, sim.random.Uint64N(1<<52), uint16(len(sim.classes)), 100))
		}
		if sim.chance(0.003) {
			sim.expectedFaults++
			records = append(records, newRecord(eventAttemptEnded, instance.number).u64(sim.random.Uint64N(1<<52)).u8(0).
				address(sim.endpoints[0].address).u16(resultOK).f64(1).u8(1).u8(0))
		}
	}
	return records
}

// requestRecord returns the record of a request without hints.
func requestRecord(instance uint16, id uint64, class uint16, remaining float64) recordBuilder {
	return newRecord(eventRequest, instance).u64(id).u16(0).f64(0).u16(0).u64(0).f64(remaining).u16(class)
}

// newRequest draws a request and the time at which its client leaves.
func (sim *simulation) newRequest(instance *simulatedInstance) recordBuilder {
	class := sim.random.IntN(len(sim.classes))
	remaining := sim.classes[class].deadline * pick(sim, 1, 1, 0.5, 0.2)
	request := &simulatedRequest{
		id: sim.random.Uint64N(1 << 52), instance: instance, class: class, work: sim.between(2, 60), deadline: sim.clock + remaining,
	}
	sim.requests[request.id] = request
	leavesAt := request.deadline + responseGrace
	if sim.chance(0.03) {
		leavesAt = sim.clock + sim.between(0, remaining)
	}
	sim.schedule(leavesAt, sim.whileRunning(instance, func() []recordBuilder {
		if request.done || request.streaming {
			return nil
		}
		request.done = true
		return []recordBuilder{newRecord(eventClientGone, instance.number).u64(request.id)}
	}))
	var tenant uint16
	if tenants := len(sim.sharedSettings["tenants"].([]any)); tenants > 0 {
		tenant = uint16(sim.random.IntN(tenants))
	}
	flags := uint16(sim.random.IntN(8))
	return newRecord(eventRequest, instance.number).u64(request.id).u16(tenant).f64(request.work * sim.between(0.7, 1.3)).u16(flags).
		u64(pick(sim, 0, 7, sim.random.Uint64(), uint64(sim.random.IntN(20)))).f64(remaining).u16(uint16(class))
}

// sendAttempt starts an attempt, which is cancelled at the cutoff; 0: at the deadline of the request.
func (sim *simulation) sendAttempt(request *simulatedRequest, cutoff float64, address uint64) {
	endpoint := sim.endpointAt(address)
	number := len(request.attempts)
	attempt := &simulatedAttempt{endpoint: endpoint, sent: sim.clock}
	request.attempts = append(request.attempts, attempt)
	endpoint.inFlight++
	if request.done || request.streaming || number >= sim.maxAttempts || sim.clock >= request.deadline {
		sim.schedule(sim.clock, sim.endAttempt(request, attempt, number, resultNotAttempted))
		return
	}
	if cutoff == 0 || cutoff > request.deadline {
		cutoff = request.deadline
	}
	result, duration := sim.drawResult(endpoint, request.work)
	if sim.classes[request.class].stream && (result == resultOK || result == resultConnReset) && sim.clock+duration < cutoff {
		sim.schedule(sim.clock+duration*sim.between(0.1, 0.9), sim.startStream(request, attempt, number))
	}
	due := sim.clock + duration
	if due > cutoff {
		due, result = max(cutoff, sim.clock), resultTimedOut
	}
	sim.schedule(due, sim.endAttempt(request, attempt, number, result))
}

// startStream plays the start of a streamed response, which binds the request to the attempt.
func (sim *simulation) startStream(request *simulatedRequest, attempt *simulatedAttempt, number int) func() []recordBuilder {
	return sim.whileRunning(request.instance, func() []recordBuilder {
		if attempt.ended || request.done || request.streaming {
			return nil
		}
		attempt.started, request.streaming = true, true
		return []recordBuilder{newRecord(eventStreamStarted, request.instance.number).u64(request.id).u8(uint8(number)).
			address(attempt.endpoint.address).f64(sim.clock - attempt.sent)}
	})
}

// endAttempt plays the end of an attempt that has not ended yet. The first response finishes the request.
func (sim *simulation) endAttempt(request *simulatedRequest, attempt *simulatedAttempt, number int, result uint16) func() []recordBuilder {
	finish := sim.whileRunning(request.instance, func() []recordBuilder {
		closed := uint8(0)
		if request.done = request.done || result == resultOK || attempt.started; request.done {
			closed = 1
		}
		var report []float32
		if sim.reportMode == "piggyback" && result == resultOK {
			report = sim.loadReport(attempt.endpoint)
		}
		return []recordBuilder{newRecord(eventAttemptEnded, request.instance.number).u64(request.id).u8(uint8(number)).
			address(attempt.endpoint.address).u16(result).f64(sim.clock - attempt.sent).u8(closed).report(report)}
	})
	return func() []recordBuilder {
		if attempt.ended {
			return nil
		}
		attempt.ended = true
		attempt.endpoint.inFlight--
		return finish()
	}
}

// cancelAttempt ends an attempt soon, unless its response has started.
func (sim *simulation) cancelAttempt(request *simulatedRequest, number int) {
	if attempt := request.attempts[number]; !attempt.started {
		sim.schedule(sim.clock+sim.between(0, 3), sim.endAttempt(request, attempt, number, resultCancelled))
	}
}

// checkHealth schedules the result of a health check.
func (sim *simulation) checkHealth(instance *simulatedInstance, address uint64) {
	endpoint := sim.endpointAt(address)
	result, duration := sim.drawResult(endpoint, 0)
	if result == resultTimedOut || duration > connectTimeout {
		duration = connectTimeout
	}
	sent := sim.clock
	sim.schedule(sim.clock+duration, sim.whileRunning(instance, func() []recordBuilder {
		var report []float32
		if sim.reportMode != "silent" && result == resultOK {
			report = sim.loadReport(endpoint)
		}
		return []recordBuilder{newRecord(eventHealthCheckResult, instance.number).f64(sim.clock - sent).u16(result).
			address(address).report(report)}
	}))
}
