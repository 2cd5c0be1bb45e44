package balance_test

import (
	"math"

	"cindersaddle/balance"
)

// send starts an attempt and schedules its response.
func (s *simulation) send(request *simulatedRequest, endpoint *simulatedEndpoint) {
	attempt := &simulatedAttempt{endpoint: endpoint, inFlight: true}
	number := len(request.attempts)
	request.attempts = append(request.attempts, attempt)
	endpoint.inFlight++
	result, latency := s.drawOutcome(request, endpoint)
	upload := max(0, request.uploadedAt-s.now)
	if left := request.deadline - s.now - upload; latency > left {
		result, latency = balance.TimedOut, max(0, left)
	}
	if result == balance.OK && request.class.Streaming {
		s.schedule(upload+latency, func() { s.beginStream(request, number, latency) })
		return
	}
	if result == balance.OK && s.chance(0.3) {
		s.schedule(upload+latency*0.6, func() { s.beginResponse(request, number, latency*0.6) })
		if s.chance(0.1) {
			result = balance.ConnReset
		}
	}
	s.schedule(upload+latency, func() { s.endAttempt(request, number, result, latency) })
}

// drawOutcome draws the result and the latency that an attempt would have without a deadline.
func (s *simulation) drawOutcome(
	request *simulatedRequest, endpoint *simulatedEndpoint,
) (balance.Result, balance.Milliseconds) {
	factor := balance.Milliseconds(0.05 + 0.2*s.exponential())
	latency := request.class.LatencyObjective * factor * balance.Milliseconds(s.slowdown) *
		(1 + 0.05*balance.Milliseconds(endpoint.inFlight))
	if s.now < s.unresponsiveUntil[endpoint.entry.Zone] {
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	}
	quick := s.duration(0.5, 10)
	if s.chance(0.02) {
		return balance.Result(s.random.IntN(resultCount-1) + 1), quick
	}
	failing := s.chance(0.8)
	switch endpoint.behaviour {
	case behaviourSlow:
		return balance.OK, latency * 6
	case behaviourHangs:
		return balance.TimedOut, balance.Milliseconds(math.Inf(1))
	case behaviourUnreachable:
		return balance.ConnectFailed, quick
	case behaviourFails:
		return resultIf(failing, balance.ServerError), quick
	case behaviourFailsOneClass:
		return resultIf(request.classIndex == endpoint.failedClass, balance.ServerError), latency
	case behaviourRejects:
		return resultIf(failing, balance.Rejected), quick
	case behaviourResets:
		return resultIf(failing, balance.ConnReset), latency
	}
	return balance.OK, latency
}

// resultIf returns the given result if failing, and otherwise OK.
func resultIf(failing bool, result balance.Result) balance.Result {
	if failing {
		return result
	}
	return balance.OK
}

// beginStream starts a streamed response and schedules its end.
func (s *simulation) beginStream(request *simulatedRequest, number int, latency balance.Milliseconds) {
	attempt := request.attempts[number]
	if !attempt.inFlight {
		return
	}
	request.finished = true
	s.handle(balance.StreamStarted{
		Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Latency: latency,
	})
	result := balance.OK
	if s.chance(0.1) {
		result = balance.ConnReset
	}
	rest := s.duration(50, 3000)
	s.schedule(rest, func() { s.endAttempt(request, number, result, latency+rest) })
}

func (s *simulation) beginResponse(request *simulatedRequest, number int, latency balance.Milliseconds) {
	if request.attempts[number].inFlight {
		s.handle(balance.ResponseStarted{Request: request.id, Attempt: number, Latency: latency})
	}
}

// endAttempt reports the outcome of an attempt, unless the attempt has already ended.
func (s *simulation) endAttempt(
	request *simulatedRequest, number int, result balance.Result, latency balance.Milliseconds,
) {
	attempt := request.attempts[number]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.endpoint.inFlight--
	request.finished = request.finished || result == balance.OK
	outcome := balance.Outcome{
		Request: request.id, Attempt: number, Endpoint: attempt.endpoint.entry.ID, Result: result, Duration: latency,
		Finished: request.finished, NoRetry: !request.finished && s.chance(0.03),
	}
	if s.config.LoadReports == balance.LoadReportsPiggybacked {
		outcome.LoadReport = s.drawLoadReport(attempt.endpoint)
	}
	s.handle(outcome)
}

// cancel ends an attempt within a few milliseconds, unless it ends before that.
func (s *simulation) cancel(request *simulatedRequest, number int) {
	delay := s.duration(0, 5)
	s.schedule(delay, func() { s.endAttempt(request, number, balance.Cancelled, delay) })
}

func (s *simulation) drawLoadReport(endpoint *simulatedEndpoint) []float32 {
	report := make([]float32, s.random.IntN(len(s.config.LoadReportFields)+2))
	for i := range report {
		report[i] = float32(endpoint.inFlight + s.random.IntN(3))
	}
	return report
}

// checkHealth schedules the result of a health check, which depends on the current behaviour of the endpoint.
func (s *simulation) checkHealth(endpoint *simulatedEndpoint) {
	latency, result := s.duration(0.5, 8), balance.OK
	unresponsive := s.now < s.unresponsiveUntil[endpoint.entry.Zone] || endpoint.behaviour == behaviourHangs
	switch {
	case unresponsive:
		latency, result = s.duration(20, 200), balance.TimedOut
	case endpoint.behaviour == behaviourUnreachable:
		result = balance.ConnectFailed
	case s.chance(0.05):
		result = balance.Result(s.random.IntN(resultCount))
	case s.chance(0.05):
		latency *= 20
	}
	s.schedule(latency, func() {
		checkResult := balance.HealthCheckResult{Endpoint: endpoint.entry.ID, Result: result, Duration: latency}
		if result == balance.OK {
			checkResult.LoadReport = s.drawLoadReport(endpoint)
		}
		s.handle(checkResult)
	})
}

// completePoll completes a poll of the endpoint list, with a failure or a snapshot.
func (s *simulation) completePoll() {
	if s.chance(0.4) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateFailed})
		return
	}
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateSnapshot, Endpoints: s.shuffledEntries()})
}

// shuffledEntries returns the current endpoint list in random order.
func (s *simulation) shuffledEntries() []balance.Endpoint {
	list := make([]balance.Endpoint, len(s.endpoints))
	for i, endpoint := range s.endpoints {
		list[i] = endpoint.entry
	}
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
