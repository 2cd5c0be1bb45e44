package balance

import "slices"

const (
	// unresponsiveEndpointsForOutage is the number of unresponsive endpoints, without any response from the
	// zone in between, at which an outage of the zone begins. It is low because single endpoints rarely hang.
	unresponsiveEndpointsForOutage = 2
	// minRestartOutage is the shortest outage during which the endpoints of the zone may have restarted.
	minRestartOutage Milliseconds = 1000
	// firstZoneCheckDelay is the delay, before jitter, after the first health check of an unreachable zone.
	firstZoneCheckDelay Milliseconds = 500
	// maxZoneCheckDoublings is the maximum number of times that the delay between a zone's health checks
	// doubles.
	maxZoneCheckDoublings = 2
	// roundsBeforeOutageLog is the number of check rounds before an outage is logged. The first health check
	// may merely have been lost, and a message in each later round would flood the log.
	roundsBeforeOutageLog = 1
)

// zone is the state that the endpoints of a zone share. During an outage, all of them count as ejected, until
// one of them responds to an attempt or a health check, or none of them is ready.
type zone struct {
	number                int            // as in Endpoint.Zone
	capacity              capacityFactor // learned; see capacity.go
	lastResponseAt        Milliseconds   // last response of any endpoint of the zone
	unresponsiveEndpoints []*endpoint    // unresponsive since lastResponseAt; emptied by the first check
	inOutage              bool           // the whole zone is considered unreachable
	outageSince           Milliseconds
	checkRounds           int          // number of times that a check was due during the outage
	nextCheckAt           Milliseconds // when the next check is due
}

// recordUnresponsive records that an endpoint did not respond to an attempt sent at sentAt, and reports
// whether an outage begins.
func (z *zone) recordUnresponsive(ep *endpoint, now, sentAt Milliseconds) (outageBegins bool) {
	if z.inOutage || sentAt < z.lastResponseAt || slices.Contains(z.unresponsiveEndpoints, ep) {
		return false
	}
	z.unresponsiveEndpoints = append(z.unresponsiveEndpoints, ep)
	if len(z.unresponsiveEndpoints) < unresponsiveEndpointsForOutage {
		return false
	}
	z.inOutage = true
	z.outageSince = now
	z.checkRounds = 0
	return true
}

// recordResponse records a response of any endpoint of the zone. It ends an outage, and reports whether there
// was one.
func (z *zone) recordResponse(now Milliseconds) (outageEnds bool) {
	z.lastResponseAt = now
	z.unresponsiveEndpoints = z.unresponsiveEndpoints[:0]
	outageEnds = z.inOutage
	z.inOutage = false
	return outageEnds
}

// recordUnresponsive records that an endpoint did not respond to an attempt sent at sentAt. A single endpoint
// may hang, but several in a row indicate that their zone is unreachable. If each endpoint of the zone were
// detected separately, every sidecar would lose requests at each of them.
func (b *Balancer) recordUnresponsive(ep *endpoint, sentAt Milliseconds) {
	if b.cfg.HealthChecks && ep.zone.recordUnresponsive(ep, b.now, sentAt) {
		b.checkZone(ep.zone)
	}
}

// checkZone sends a health check to an endpoint of an unreachable zone, and schedules the next check after an
// exponentially growing delay with jitter. A health check costs far less than a lost request. The outage ends
// if the zone has no ready endpoints.
func (b *Balancer) checkZone(zone *zone) {
	chosen, readyCount := b.chooseEndpointToCheck(zone)
	zone.unresponsiveEndpoints = zone.unresponsiveEndpoints[:0]
	if readyCount == 0 {
		zone.inOutage = false
		return
	}
	if zone.checkRounds == roundsBeforeOutageLog {
		b.logf("zone %d is unreachable: no requests go there until a health check succeeds", zone.number)
	}
	if chosen != nil {
		b.sendHealthCheck(chosen)
	}
	backoff := firstZoneCheckDelay.scaled(backoffFactor(zone.checkRounds, maxZoneCheckDoublings))
	delay := backoff.scaled(b.random.jitter())
	zone.checkRounds++
	zone.nextCheckAt = b.now + delay
	b.emit(Action{Kind: SetTimer, Token: zoneTimerTokenBase + uint64(zone.number), Delay: delay})
}

// onZoneTimer repeats the check of a zone that is still unreachable.
func (b *Balancer) onZoneTimer(number int) {
	zone := b.endpoints.zones[number]
	if zone != nil && zone.inOutage && b.now > zone.nextCheckAt-timerTolerance {
		b.checkZone(zone)
	}
}

// chooseEndpointToCheck chooses a ready endpoint of a zone at random, and returns it with the number of ready
// endpoints. It skips endpoints with a pending health check and, in the first round, the unresponsive
// endpoints that caused the outage; later rounds do not skip those. chosen is nil if no others are left.
func (b *Balancer) chooseEndpointToCheck(zone *zone) (chosen *endpoint, readyCount int) {
	candidateCount := 0.0
	for _, ep := range b.endpoints.list {
		if ep.zone != zone || ep.State != Ready {
			continue
		}
		readyCount++
		if ep.healthCheck.pending || slices.Contains(zone.unresponsiveEndpoints, ep) {
			continue
		}
		candidateCount++
		if b.random.next() < 1/candidateCount { // reservoir sampling: each candidate is equally likely
			chosen = ep
		}
	}
	return chosen, readyCount
}

// recordReachable records that an endpoint responded, which ends an outage of its zone. After a long outage,
// the slow start of all endpoints of the zone begins: they may have restarted, even if discovery has not
// reported it.
func (b *Balancer) recordReachable(responding *endpoint) {
	zone := responding.zone
	responding.activity.lastResponseAt = b.now
	if !zone.recordResponse(b.now) {
		return
	}
	if zone.checkRounds > roundsBeforeOutageLog { // the outage was logged
		b.logf("zone %d is reachable again after %.0f ms", zone.number, b.now-zone.outageSince)
	}
	for _, ep := range b.endpoints.list {
		if ep.zone == zone && !b.inSlowStart(ep) && b.now >= zone.outageSince+minRestartOutage {
			b.startSlowStart(ep, b.now)
		}
	}
}
