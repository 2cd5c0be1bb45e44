package balance_test

import (
	"math"
	"slices"

	"cindersaddle/balance"
)

// changeWhenDue changes the environment, the settings or the balancer at certain numbers of events.
func (s *simulation) changeWhenDue() {
	if s.eventCount >= s.nextChangeAtEvent {
		s.nextChangeAtEvent = s.eventCount + eventsBetweenChanges
		s.changeEnvironment()
	}
	if s.eventCount >= s.nextReconfigureAtEvent {
		s.nextReconfigureAtEvent += s.eventLimit * 3 / 10
		s.reconfigure()
	}
	if s.eventCount >= s.nextHandoverAtEvent {
		s.nextHandoverAtEvent = s.eventLimit * 2
		if s.number%4 != 1 {
			s.handOver()
		}
	}
}

// changeEnvironment makes one random change of the endpoints, the clients or the load.
func (s *simulation) changeEnvironment() {
	s.digest.writeInt(s.balancer.UnavailableCount(s.now))
	switch s.random.IntN(16) {
	case 0:
		s.slowdown = []float64{1, 1, 1, 2, 6}[s.random.IntN(5)]
	case 1:
		s.intervalFactor = []float64{1, 1, 0.2, 0.5, 5}[s.random.IntN(5)]
	case 2:
		s.now += s.duration(200, 40000)
	case 3:
		s.startZoneOutage(s.random.IntN(s.zones))
	case 4, 5:
		s.drawBehaviour(s.randomEndpoint())
	case 6, 7, 8, 9:
		s.randomEndpoint().behaviour = behaviourHealthy
	case 10, 11, 12:
		s.changeEndpoint()
	case 13:
		s.completePoll()
	case 14:
		s.disconnectClients()
	case 15:
		s.sendInvalidEvents()
	}
}

func (s *simulation) randomEndpoint() *simulatedEndpoint {
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// startZoneOutage makes a zone unresponsive for a while. In some cases, discovery lists its endpoints as draining
// for a part of that time.
func (s *simulation) startZoneOutage(zone int) {
	length := s.duration(200, 6000)
	s.unresponsiveUntil[zone] = s.now + length
	if s.zones > 1 && s.chance(0.3) {
		s.schedule(length/3, func() { s.setZoneState(zone, balance.Draining) })
		s.schedule(length, func() { s.setZoneState(zone, balance.Ready) })
	}
}

// setZoneState changes the state of all endpoints of a zone and sends the balancer the update.
func (s *simulation) setZoneState(zone int, state balance.EndpointState) {
	var changed []balance.Endpoint
	for _, endpoint := range s.endpoints {
		if endpoint.entry.Zone == zone {
			endpoint.entry.State = state
			changed = append(changed, endpoint.entry)
		}
	}
	s.handle(balance.EndpointUpdate{Kind: balance.UpdateDelta, Endpoints: changed})
}

// changeEndpoint adds, restarts, drains or removes an endpoint, and sends the balancer the update in most cases.
func (s *simulation) changeEndpoint() {
	endpoint := s.randomEndpoint()
	switch s.random.IntN(5) {
	case 0:
		endpoint = s.addEndpoint(s.now - s.duration(0, 500))
	case 1, 2:
		endpoint.entry.StartedAt = s.now - s.duration(0, 500)
		endpoint.behaviour = behaviourHealthy
	case 3:
		endpoint.entry.State = balance.Draining
	case 4:
		s.removeOrReactivate(endpoint)
	}
	if s.chance(0.8) {
		s.handle(balance.EndpointUpdate{Kind: balance.UpdateDelta, Endpoints: []balance.Endpoint{endpoint.entry}})
	}
}

// removeOrReactivate removes an endpoint, or makes a draining endpoint ready again. Two endpoints always remain.
func (s *simulation) removeOrReactivate(endpoint *simulatedEndpoint) {
	if endpoint.entry.State == balance.Draining && s.chance(0.5) {
		endpoint.entry.State = balance.Ready
		return
	}
	if len(s.endpoints) <= 2 {
		return
	}
	endpoint.entry.State, endpoint.behaviour = balance.Gone, behaviourUnreachable
	index := slices.Index(s.endpoints, endpoint)
	s.endpoints = slices.Delete(s.endpoints, index, index+1)
}

// disconnectClients disconnects the clients of some recent requests.
func (s *simulation) disconnectClients() {
	for range 5 {
		if len(s.recentRequests) == 0 {
			return
		}
		request := s.recentRequests[s.random.IntN(len(s.recentRequests))]
		request.finished = true
		s.handle(balance.ClientGone{Request: request.id})
	}
}

// sendInvalidEvents sends invalid events, and events that arrive too late to have an effect.
func (s *simulation) sendInvalidEvents() {
	unknown := s.lastRequest + 1000000
	s.handleInvalid(balance.Request{ID: unknown, Class: len(s.config.Classes) + s.random.IntN(3), Remaining: 100})
	s.handleInvalid(balance.Request{ID: unknown, Class: -1, Remaining: 100})
	s.handleInvalid(balance.Outcome{Request: unknown, Result: balance.ServerError})
	s.handleInvalid(balance.Outcome{Request: s.lastRequest, Attempt: 50, Result: balance.OK})
	s.handle(balance.ClientGone{Request: unknown})
	s.handle(balance.UploadComplete{Request: unknown, Remaining: 100})
	s.handle(balance.ResponseStarted{Request: unknown})
	s.handle(balance.StreamStarted{Request: unknown})
	s.handle(balance.TimerFired{Token: uint64(unknown)})
	s.handle(balance.HealthCheckResult{Endpoint: 1 << 40, Result: balance.OK, LoadReport: []float32{1}})
	s.handle(balance.ClientGone{Request: unknown}) // replaces a removed kind of event, which had no effect either
}

// reconfigure draws new settings. They keep some of the former classes and tenants, in another order.
func (s *simulation) reconfigure() {
	former := s.config
	s.config = s.drawConfig()
	s.config.LoadReports, s.config.LoadReportFields = former.LoadReports, former.LoadReportFields
	s.config.Zone = former.Zone
	classes, tenants := s.drawOldIndexes(len(former.Classes)), s.drawOldIndexes(len(former.Tenants))
	s.config.Classes, s.config.Tenants = nil, nil
	for _, oldIndex := range classes {
		s.config.Classes = append(s.config.Classes, s.keepOrDrawClass(former.Classes, oldIndex))
	}
	for _, oldIndex := range tenants {
		s.config.Tenants = append(s.config.Tenants, s.drawTenant())
		if oldIndex >= 0 && s.chance(0.5) {
			s.config.Tenants[len(s.config.Tenants)-1] = former.Tenants[oldIndex]
		}
	}
	for oldIndex := range former.Classes {
		if !slices.Contains(classes, oldIndex) {
			s.removedClasses = append(s.removedClasses, &former.Classes[oldIndex])
		}
	}
	s.balancer.Reconfigure(s.config, classes, tenants)
}

// keepOrDrawClass returns the former class with index oldIndex, in some cases with another priority weight, or a
// new class if oldIndex is -1.
func (s *simulation) keepOrDrawClass(former []balance.Class, oldIndex int) balance.Class {
	if oldIndex < 0 {
		return s.drawClass()
	}
	class := former[oldIndex]
	if s.chance(0.5) {
		class.PriorityWeight = s.uniform(0.1, 10)
	}
	return class
}

// drawOldIndexes draws the former indexes of the new classes or tenants; -1 stands for an added one.
func (s *simulation) drawOldIndexes(count int) []int {
	oldIndexes := []int{-1}
	for _, oldIndex := range s.random.Perm(count) {
		if s.chance(0.75) {
			oldIndexes = append(oldIndexes, oldIndex)
		}
	}
	s.random.Shuffle(len(oldIndexes), func(i, j int) { oldIndexes[i], oldIndexes[j] = oldIndexes[j], oldIndexes[i] })
	return oldIndexes
}

// handOver replaces the balancer by a new one, which imports its state. It drops the open requests. In some
// configurations, parts of the state are corrupt.
func (s *simulation) handOver() {
	state := s.balancer.ExportState(s.now)
	s.digest.writeState(&state)
	if s.number%8 == 2 {
		state.MinLatencyRatio, state.MeanCapacityStep, state.SteadyShedFraction = math.NaN(), 5, -1
		state.StartedAt, state.LongTermResponseCount = s.now+1000, math.Inf(1)
	}
	s.pending, s.recentRequests = nil, nil
	for _, endpoint := range s.endpoints {
		endpoint.inFlight = 0
	}
	s.config.Seed = s.random.Uint64()
	s.start()
	s.balancer.ImportState(s.now, state, identityIndexes(len(s.config.Classes)), identityIndexes(len(s.config.Tenants)))
	s.digest.writeInt(s.balancer.UnavailableCount(s.now))
}

// identityIndexes returns the old indexes of unchanged classes or tenants.
func identityIndexes(count int) []int {
	oldIndexes := make([]int, count)
	for i := range oldIndexes {
		oldIndexes[i] = i
	}
	return oldIndexes
}
