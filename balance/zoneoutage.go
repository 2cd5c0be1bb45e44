package balance

import "slices"

const (
	// silentEndpointsForOutage is the number of consecutive silent endpoints at which a zone counts as
	// unreachable. It is low, because endpoints hang rarely.
	silentEndpointsForOutage = 2
	// restartOutage is the length of an outage in which the endpoints of the zone may have restarted.
	restartOutage Milliseconds = 1000
	// maxZoneCheckDoublings limits the growth of the delay between the health checks of a zone.
	maxZoneCheckDoublings = 2
)

// zone is the state that this sidecar keeps for all endpoints of a zone together. In an outage they
// count as ejected, until one of them responds to anything or none is ready.
type zone struct {
	number          int
	capacity        capacityFactor
	lastResponseAt  Milliseconds // when any endpoint of the zone responded last
	silentEndpoints []*endpoint  // endpoints that did not respond since then, or since the last check
	outage          bool         // the zone is considered unreachable as a whole
	outageSince     Milliseconds
	checkRounds     int          // times that a check was due since then
	nextCheckAt     Milliseconds // when the next one is due
}

// recordSilence counts an endpoint that did not respond to what was sent at sentAt, and reports whether the
// zone counts as unreachable now.
func (z *zone) recordSilence(ep *endpoint, now, sentAt Milliseconds) (outageBegins bool) {
	if z.outage || sentAt < z.lastResponseAt || slices.Contains(z.silentEndpoints, ep) {
		return false
	}
	z.silentEndpoints = append(z.silentEndpoints, ep)
	if len(z.silentEndpoints) < silentEndpointsForOutage {
		return false
	}
	z.outage = true
	z.outageSince = now
	z.checkRounds = 0
	return true
}

// recordResponse ends an outage, and reports whether there was one.
func (z *zone) recordResponse(now Milliseconds) (outageEnds bool) {
	z.lastResponseAt = now
	z.silentEndpoints = z.silentEndpoints[:0]
	outageEnds = z.outage
	z.outage = false
	return outageEnds
}

// recordSilence counts an endpoint that did not respond to what was sent at sentAt. A single endpoint may
// hang, but several in a row mean that their zone is unreachable: detected for each endpoint separately,
// that would cost each sidecar requests at every one.
func (b *Balancer) recordSilence(ep *endpoint, sentAt Milliseconds) {
	if b.cfg.HealthChecks && ep.zone.recordSilence(ep, b.now, sentAt) {
		b.checkZone(ep.zone)
	}
}

// checkZone checks an endpoint of an unreachable zone, and schedules the next check after a growing delay
// with jitter. A health check costs far less than a lost request.
func (b *Balancer) checkZone(zone *zone) {
	chosen, readyCount := b.chooseZoneCheck(zone)
	zone.silentEndpoints = zone.silentEndpoints[:0]
	if readyCount == 0 {
		zone.outage = false
		return
	}
	if zone.checkRounds == 1 { // the first check may have been lost; later messages would flood the log
		b.logf("zone %d is unreachable: no requests go there until a health check succeeds", zone.number)
	}
	if chosen != nil {
		b.sendHealthCheck(chosen)
	}
	backoff := b.longestObjective.scaled(backoffFactor(zone.checkRounds, maxZoneCheckDoublings))
	delay := backoff.scaled(b.random.jitter())
	zone.checkRounds++
	zone.nextCheckAt = b.now + delay
	b.emit(Action{Kind: SetTimer, Token: zoneTimerToken + uint64(zone.number), Delay: delay})
}

// onZoneTimer checks an unreachable zone again.
func (b *Balancer) onZoneTimer(number int) {
	zone := b.endpoints.zones[number]
	if zone != nil && zone.outage && b.now > zone.nextCheckAt-timerTolerance {
		b.checkZone(zone)
	}
}

// chooseZoneCheck chooses an endpoint of a zone at random, and returns it with the number of ready
// endpoints. It leaves out the silent endpoints and those with a pending health check.
func (b *Balancer) chooseZoneCheck(zone *zone) (chosen *endpoint, readyCount int) {
	candidateCount := 0.0
	for _, ep := range b.endpoints.list {
		if ep.zone != zone || ep.State != Ready {
			continue
		}
		readyCount++
		if ep.healthCheck.pending || slices.Contains(zone.silentEndpoints, ep) {
			continue
		}
		candidateCount++
		if b.random.next() < 1/candidateCount {
			chosen = ep
		}
	}
	return chosen, readyCount
}

// recordResponse records that an endpoint responded, which ends an outage of its zone. After a long outage
// the endpoints may have restarted, even if discovery has not reported it.
func (b *Balancer) recordResponse(responding *endpoint) {
	zone := responding.zone
	responding.activity.lastResponseAt = b.now
	if !zone.recordResponse(b.now) {
		return
	}
	if zone.checkRounds > 1 {
		b.logf("zone %d is reachable again after %.0f ms", zone.number, b.now-zone.outageSince)
	}
	for _, ep := range b.endpoints.list {
		if ep.zone == zone && !b.warmingUp(ep) && b.now >= zone.outageSince+restartOutage {
			b.startWarmUp(ep, b.now)
		}
	}
}
