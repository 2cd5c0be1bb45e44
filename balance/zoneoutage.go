package balance

import "slices"

const (
	// silentEndpointsForOutage is the number of consecutive silent endpoints at which a zone counts as
	// unreachable. It is low, because endpoints hang rarely.
	silentEndpointsForOutage = 2
	// maxZoneCheckDoublings limits the growth of the delay between the health checks of a zone.
	maxZoneCheckDoublings = 2
)

// recordSilence records that an endpoint did not respond to what was sent at sentAt. A single endpoint may
// hang, but several in a row mean that the zone is unreachable. If that were detected for each endpoint
// separately, each sidecar would lose requests at every one.
func (b *Balancer) recordSilence(ep *endpoint, sentAt Milliseconds) {
	zone := ep.zone
	if zone.outage || sentAt < zone.lastResponseAt || !b.cfg.HealthChecks {
		return
	}
	if slices.Contains(zone.silentEndpoints, ep) {
		return
	}
	zone.silentEndpoints = append(zone.silentEndpoints, ep)
	if len(zone.silentEndpoints) >= silentEndpointsForOutage {
		zone.outage = true
		zone.outageSince = b.now
		zone.recoveryChecks = 0
		b.checkZone(zone)
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
	if zone.recoveryChecks == 1 { // the first check may have been lost; later messages would flood the log
		b.logf("zone %d is unreachable: no requests go there until a health check succeeds", zone.number)
	}
	if chosen != nil {
		b.sendHealthCheck(chosen)
	}
	backoff := b.longestObjective.scaled(backoffFactor(zone.recoveryChecks, maxZoneCheckDoublings))
	delay := backoff.scaled(b.jitter())
	zone.recoveryChecks++
	zone.nextCheckAt = b.now + delay
	b.emit(Action{Kind: SetTimer, Token: zoneTimerToken + uint64(zone.number), Delay: delay})
}

// chooseZoneCheck chooses an endpoint of a zone at random, and returns it with the number of ready endpoints.
// It leaves out the silent endpoints and those with a pending health check.
func (b *Balancer) chooseZoneCheck(zone *zone) (chosen *endpoint, readyCount int) {
	candidateCount := 0.0
	for _, ep := range b.endpoints {
		if ep.zone != zone || ep.State != Ready {
			continue
		}
		readyCount++
		if ep.checkPending || slices.Contains(zone.silentEndpoints, ep) {
			continue
		}
		candidateCount++
		if b.random() < 1/candidateCount {
			chosen = ep
		}
	}
	return chosen, readyCount
}

// recordAnswer records that an endpoint responded, which ends an outage of its zone. After a long outage the
// endpoints may have restarted, even if discovery has not reported it.
func (b *Balancer) recordAnswer(answered *endpoint) {
	zone := answered.zone
	answered.lastResponseAt = b.now
	zone.lastResponseAt = b.now
	zone.silentEndpoints = zone.silentEndpoints[:0]
	if !zone.outage {
		return
	}
	zone.outage = false
	if zone.recoveryChecks > 1 {
		b.logf("zone %d is reachable again after %.0f ms", zone.number, b.now-zone.outageSince)
	}
	for _, ep := range b.endpoints {
		if ep.zone == zone && !b.warmingUp(ep) && b.now >= zone.outageSince+restartSilence {
			b.startWarmUp(ep, b.now)
		}
	}
}
