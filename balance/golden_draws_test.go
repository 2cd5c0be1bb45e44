package balance_test

import (
	"math"

	"cindersaddle/balance"
)

// chanceAfterSkippedDraw skips the random number of a removed setting and then draws as chance does.
func (s *simulation) chanceAfterSkippedDraw(probability float64) bool {
	s.random.Float64()
	return s.chance(probability)
}

// skipDraws skips the random numbers of removed settings, so that later draws stay as they were recorded.
func (s *simulation) skipDraws(count int) {
	for range count {
		s.random.Float64()
	}
}

// chance returns true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// uniform draws a number from [low, high).
func (s *simulation) uniform(low, high float64) float64 {
	return low + (high-low)*s.random.Float64()
}

// exponential draws a number from an exponential distribution with mean 1. It has the same bits on all processors,
// unlike rand.ExpFloat64, which uses math.Exp and math.Log.
func (s *simulation) exponential() float64 { return -math.Log1p(-s.random.Float64()) }

// stickyKey draws a sticky key. The key n is about n times as rare as the key 1.
func (s *simulation) stickyKey() uint64 {
	return uint64(1 + math.Expm1(s.random.Float64()*math.Log1p(stickyKeyCount)))
}

// duration draws a span of time from [low, high) milliseconds.
func (s *simulation) duration(low, high float64) balance.Milliseconds {
	return balance.Milliseconds(s.uniform(low, high))
}

// drawConfig draws all settings. Some depend on the configuration's number, so that each of their values occurs.
func (s *simulation) drawConfig() balance.Config {
	c := balance.Config{
		Seed: s.random.Uint64(), InstanceCount: []int{1, 3, 20, 200}[s.number/2%4], Zone: s.random.IntN(3),
		OverQuotaWeight: s.random.Float64(), MinBatchInterval: s.duration(0, 6),
		ClientRetriesMarked: s.chanceAfterSkippedDraw(0.5), KeyCaching: s.number%2 == 0,
		PolledDiscovery: s.number%4 != 3, LoadReports: balance.LoadReportMode(s.number % 3),
		LoadReportFields: s.drawLoadReportFields(), MaxAttempts: 1 + s.number%5,
	}
	s.hasRatings = s.random.IntN(4) > 0
	c.Cancellation = s.chanceAfterSkippedDraw(0.7)
	c.RetryAfter = s.chanceAfterSkippedDraw(0.5)
	c.MaxRetryAfter, c.ConnectTimeout, c.ConnIdleTimeout = s.duration(20, 2000), s.duration(50, 500), s.duration(0, 20000)
	s.random.IntN(100) // two limits that have been removed
	s.random.IntN(2)
	c.InstanceIndex = s.random.IntN(c.InstanceCount)
	c.HealthChecks = c.LoadReports == balance.LoadReportsPolled && s.chance(0.8) || s.chance(0.6)
	c.DrainGrace, c.SlowStartInitialFraction = s.duration(500, 5000), s.uniform(0.05, 0.5)
	c.SlowStartDuration = s.duration(0, 20000)
	c.SlowStartOverloadFactor, c.SlowStartOverloadWindow = s.uniform(1, 4), s.duration(300, 3000)
	c.MaxPollInterval = balance.Milliseconds(s.random.IntN(3)) * 6000
	s.skipDraws(1)
	if !s.chance(0.4) { // weights of the score, which have been removed
		s.skipDraws(5)
	}
	c.Costs = s.drawCosts()
	for range 1 + s.random.IntN(6) {
		c.Classes = append(c.Classes, s.drawClass())
	}
	for range s.random.IntN(6) {
		c.Tenants = append(c.Tenants, s.drawTenant())
	}
	return c
}

func (s *simulation) drawLoadReportFields() []balance.LoadField {
	fields := make([]balance.LoadField, 1+s.random.IntN(6))
	for i := range fields {
		fields[i] = balance.LoadField(s.random.IntN(int(balance.LoadFieldErrorRate) + 1))
	}
	fields[s.random.IntN(len(fields))] = balance.LoadFieldInFlight
	return fields
}

func (s *simulation) drawCosts() balance.Costs {
	var costs balance.Costs
	costs.CrossZone = s.uniform(0, 0.1)
	s.skipDraws(1)
	costs.NewConnection, costs.HealthCheck = s.uniform(0, 0.05), s.uniform(0, 0.02)
	s.skipDraws(3)
	return costs
}

func (s *simulation) drawClass() balance.Class {
	class := balance.Class{
		LatencyObjective: s.duration(40, 800), Idempotency: balance.Idempotency(s.random.IntN(3)),
		DedupScope: balance.DedupScope(s.random.IntN(3)), DedupWindow: s.duration(100, 4000),
	}
	s.skipDraws(1)
	class.Deadline, class.PriorityWeight = class.LatencyObjective*s.duration(1, 5), s.uniform(0.1, 10)
	class.LateWeight, class.Streaming = s.random.Float64()*s.random.Float64(), s.chance(0.2)
	return class
}

func (s *simulation) drawTenant() balance.Tenant {
	if s.chance(0.3) {
		return balance.Tenant{}
	}
	s.skipDraws(1)
	return balance.Tenant{QuotaShare: s.uniform(0.01, 0.5)}
}

// drawFleet draws the initial endpoints. More than a third of the configurations have many of them.
func (s *simulation) drawFleet() {
	count := 3 + s.random.IntN(20)
	if s.number%3 == 1 {
		count = 21 + s.random.IntN(80)
	} else if s.number%8 == 2 {
		count = 100 + s.random.IntN(301)
	}
	s.zones, s.endpointsPerCell = 1+s.random.IntN(4), 1+s.random.IntN(4)
	s.unresponsiveUntil = make([]balance.Milliseconds, s.zones)
	for range count {
		endpoint := s.addEndpoint(0)
		if s.chance(0.1) {
			endpoint.entry.StartedAt = s.now - s.duration(0, 20000)
		}
		if s.chance(0.15) {
			s.drawBehaviour(endpoint)
		}
	}
}

func (s *simulation) addEndpoint(startedAt balance.Milliseconds) *simulatedEndpoint {
	s.lastEndpoint++
	cell := int(s.lastEndpoint) / s.endpointsPerCell
	endpoint := &simulatedEndpoint{entry: balance.Endpoint{
		ID: s.lastEndpoint*7919%100003 + 1, StartedAt: startedAt, Cell: cell, Zone: cell % s.zones,
		MachineType: s.random.IntN(3),
	}}
	if s.hasRatings {
		endpoint.entry.Rating = s.uniform(0.2, 3)
	}
	s.endpoints = append(s.endpoints, endpoint)
	s.byID[endpoint.entry.ID] = endpoint
	return endpoint
}

func (s *simulation) drawBehaviour(endpoint *simulatedEndpoint) {
	endpoint.behaviour = behaviour(s.random.IntN(int(behaviourCount)))
	endpoint.failedClass = s.random.IntN(len(s.config.Classes))
}
