package balance

const (
	// pollBackoffBase is the delay before a failed poll is repeated. It doubles with each failure.
	pollBackoffBase Milliseconds = 500
	// maxPollDoublings limits the growth of this delay.
	maxPollDoublings = 4
	// pollServiceTime is the time that discovery gets for the poll of one sidecar: it serves one at a time.
	pollServiceTime Milliseconds = 60
	// pollTimeout is how long a poll may take: discovery delays it for up to 2 s.
	pollTimeout Milliseconds = 2100
	// pollTimeUncontended is how long a poll takes if no other sidecar polls.
	pollTimeUncontended Milliseconds = 1000
	// propagationLimit is the time within which a sidecar has to know a change that discovery reports,
	// counted from when discovery can be reached.
	propagationLimit Milliseconds = 6000
)

// scheduleFirstPoll spreads the first polls of all sidecars over time. If sidecars that start together all
// polled at once, most polls would time out, and discovery would still be busy with them when they are
// repeated.
func (b *Balancer) scheduleFirstPoll() {
	spread := min(b.pollRoundTime(), propagationLimit-pollTimeUncontended)
	if b.cfg.MaxPollInterval > 0 {
		spread = min(spread, b.cfg.MaxPollInterval/2)
	}
	instanceCount := max(b.cfg.InstanceCount, 1)
	position := max(b.cfg.InstanceIndex, 0) % instanceCount
	if position == 0 {
		b.emit(Action{Kind: WatchEndpoints})
		return
	}
	delay := spread * Milliseconds(position) / Milliseconds(instanceCount)
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}

// pollRoundTime returns the time in which discovery can serve one poll of each sidecar.
func (b *Balancer) pollRoundTime() Milliseconds {
	return pollServiceTime * Milliseconds(b.cfg.InstanceCount)
}

// retryPoll repeats a failed poll after a growing delay with jitter. The failed poll may have just missed the
// recovery of discovery, and the next one takes time, too: the delay is what propagationLimit leaves. If
// discovery could not serve all sidecars in that time, each sidecar waits for its position in a round of all.
func (b *Balancer) retryPoll() {
	maxDelay := propagationLimit - 2*pollTimeout - pollBackoffBase/2
	roundTime := b.pollRoundTime()
	if b.cfg.MaxPollInterval > 0 {
		maxDelay = min(maxDelay, b.cfg.MaxPollInterval/3)
	}
	backoff := pollBackoffBase.scaled(backoffFactor(b.failedPolls, maxPollDoublings))
	delay := min(backoff, maxDelay).scaled(b.jitter())
	if roundTime > pollTimeout+maxDelay {
		turn := (float64(b.cfg.InstanceIndex) + b.random()) / float64(b.cfg.InstanceCount)
		position := roundTime.scaled(turn)
		delay = modulo(position-modulo(b.now, roundTime)+roundTime, roundTime)
	}
	b.failedPolls++
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}

// onEndpointUpdate applies an update from discovery.
func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		b.retryPoll()
		return
	}
	if ev.Kind != UpdateDelta {
		b.markUnlistedGone(ev.Endpoints)
	}
	if ev.Kind != UpdateCachedSnapshot {
		b.failedPolls = 0
	}
	for i := range ev.Endpoints {
		entry := &ev.Endpoints[i]
		if entry.State != Gone || b.endpointsByID[entry.ID] != nil {
			b.updateEndpoint(entry)
		}
	}
	b.removeGone()
}

// updateEndpoint applies one entry of the endpoint list. A restart clears the errors of the endpoint.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	ep := b.endpointFor(entry)
	if entry.StartedAt > ep.StartedAt {
		ep.clearErrors()
		b.startWarmUp(ep, entry.StartedAt)
	}
	ep.Endpoint = *entry
	ep.machineType = b.machineTypeFactor(ep.MachineType)
	ep.zone = b.zoneFor(ep.Zone)
}
