package main

// simulatedAttempt is an attempt of a request.
type simulatedAttempt struct {
	endpoint             *simulatedEndpoint
	sentAt               float64
	streamStarted, ended bool
}

// simulatedRequest is a request of a client.
type simulatedRequest struct {
	id        uint64
	instance  *simulatedInstance
	class     int
	work      float64 // service time, in milliseconds
	deadline  float64 // time at which it is due
	finished  bool
	streaming bool // a streamed response has started
	attempts  []*simulatedAttempt
}

// nextClientRecords returns new requests, and occasionally an event that the adapter must report as a fault. The rate
// of requests is higher in the last third of the case.
func (sim *simulation) nextClientRecords(frame int) []recordBuilder {
	var records []recordBuilder
	maxRequests := 3
	if frame > goldenFrames*2/3 {
		maxRequests = 14
	}
	for _, instance := range sim.instances {
		if !instance.running {
			continue
		}
		for range sim.random.IntN(maxRequests + 1) {
			records = append(records, sim.newRequest(instance))
		}
		if sim.randomChance(0.003) {
			sim.expectedFaults++
			unknownClass := uint16(len(sim.classes))
			records = append(records, requestRecord(instance.number, sim.random.Uint64N(1<<52), unknownClass, 100))
		}
		if sim.randomChance(0.003) {
			sim.expectedFaults++
			records = append(records, newRecord(eventAttemptEnded, instance.number).u64(sim.random.Uint64N(1<<52)).u8(0).
				address(sim.endpoints[0].address).u16(resultOK).f64(1).u8(1).u8(0))
		}
	}
	return records
}

// requestRecord returns a record with a request of tenant 0 that has no work hint, flags or sticky key. The time
// until its client gives up is in milliseconds.
func requestRecord(instance uint16, id uint64, class uint16, remaining float64) recordBuilder {
	return newRecord(eventRequest, instance).u64(id).u16(0).f64(0).u16(0).u64(0).f64(remaining).u16(class)
}

// newRequest generates a request and schedules the time at which its client disconnects.
func (sim *simulation) newRequest(instance *simulatedInstance) recordBuilder {
	class := sim.random.IntN(len(sim.classes))
	remaining := sim.classes[class].deadline * pickRandom(sim, 1, 1, 0.5, 0.2)
	request := &simulatedRequest{
		id: sim.random.Uint64N(1 << 52), instance: instance, class: class,
		work: sim.randomBetween(2, 60), deadline: sim.clock + remaining,
	}
	sim.requests[request.id] = request
	disconnectsAt := request.deadline + responseGrace
	if sim.randomChance(0.03) {
		disconnectsAt = sim.clock + sim.randomBetween(0, remaining)
	}
	sim.schedule(disconnectsAt, sim.whileRunning(instance, func() []recordBuilder {
		if request.finished || request.streaming {
			return nil
		}
		request.finished = true
		return []recordBuilder{newRecord(eventClientGone, instance.number).u64(request.id)}
	}))
	var tenant uint16
	if tenants := len(sim.sharedSettings["tenants"].([]any)); tenants > 0 {
		tenant = uint16(sim.random.IntN(tenants))
	}
	flags := uint16(sim.random.IntN(8))
	workHint := request.work * sim.randomBetween(0.7, 1.3)
	stickyKey := pickRandom(sim, 0, 7, sim.random.Uint64(), uint64(sim.random.IntN(20)))
	return newRecord(eventRequest, instance.number).u64(request.id).u16(tenant).f64(workHint).u16(flags).u64(stickyKey).
		f64(remaining).u16(uint16(class))
}

// sendAttempt starts an attempt and schedules its end. The attempt times out at the cutoff, or at the deadline of the
// request if the cutoff is 0.
func (sim *simulation) sendAttempt(request *simulatedRequest, cutoff float64, address uint64) {
	endpoint := sim.endpointAt(address)
	number := len(request.attempts)
	attempt := &simulatedAttempt{endpoint: endpoint, sentAt: sim.clock}
	request.attempts = append(request.attempts, attempt)
	endpoint.inFlight++
	if request.finished || request.streaming || number >= sim.maxAttempts || sim.clock >= request.deadline {
		sim.schedule(sim.clock, sim.endAttempt(request, attempt, number, resultNotAttempted))
		return
	}
	if cutoff == 0 || cutoff > request.deadline {
		cutoff = request.deadline
	}
	result, duration := sim.randomResult(endpoint, request.work)
	canStream := sim.classes[request.class].stream && (result == resultOK || result == resultConnReset)
	if canStream && sim.clock+duration < cutoff {
		sim.schedule(sim.clock+duration*sim.randomBetween(0.1, 0.9), sim.startStream(request, attempt, number))
	}
	due := sim.clock + duration
	if due > cutoff {
		due, result = max(cutoff, sim.clock), resultTimedOut
	}
	sim.schedule(due, sim.endAttempt(request, attempt, number, result))
}

// startStream returns a function that starts the streamed response of an attempt, and returns the record that reports
// this. No other attempt can serve the request afterwards.
func (sim *simulation) startStream(
	request *simulatedRequest, attempt *simulatedAttempt, number int,
) func() []recordBuilder {
	return sim.whileRunning(request.instance, func() []recordBuilder {
		if attempt.ended || request.finished || request.streaming {
			return nil
		}
		attempt.streamStarted, request.streaming = true, true
		return []recordBuilder{newRecord(eventStreamStarted, request.instance.number).u64(request.id).u8(uint8(number)).
			address(attempt.endpoint.address).f64(sim.clock - attempt.sentAt)}
	})
}

// endAttempt returns a function that ends an attempt, and returns the record that reports its outcome. The function
// does nothing if the attempt has already ended. The first successful response finishes the request, and so does the
// end of a streamed response.
func (sim *simulation) endAttempt(
	request *simulatedRequest, attempt *simulatedAttempt, number int, result uint16,
) func() []recordBuilder {
	records := sim.whileRunning(request.instance, func() []recordBuilder {
		finishedFlag := uint8(0)
		if request.finished = request.finished || result == resultOK || attempt.streamStarted; request.finished {
			finishedFlag = 1
		}
		var report []float32
		if sim.reportMode == "piggyback" && result == resultOK {
			report = sim.loadReport(attempt.endpoint)
		}
		return []recordBuilder{newRecord(eventAttemptEnded, request.instance.number).u64(request.id).u8(uint8(number)).
			address(attempt.endpoint.address).u16(result).f64(sim.clock - attempt.sentAt).u8(finishedFlag).report(report)}
	})
	return func() []recordBuilder {
		if attempt.ended {
			return nil
		}
		attempt.ended = true
		attempt.endpoint.inFlight--
		return records()
	}
}

// cancelAttempt schedules the end of an attempt as cancelled, unless a streamed response has started.
func (sim *simulation) cancelAttempt(request *simulatedRequest, number int) {
	if attempt := request.attempts[number]; !attempt.streamStarted {
		sim.schedule(sim.clock+sim.randomBetween(0, 3), sim.endAttempt(request, attempt, number, resultCancelled))
	}
}

// checkHealth schedules the result of a health check.
func (sim *simulation) checkHealth(instance *simulatedInstance, address uint64) {
	endpoint := sim.endpointAt(address)
	result, duration := sim.randomResult(endpoint, 0)
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
