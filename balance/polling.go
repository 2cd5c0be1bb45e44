package balance

const (
	// pollBackoffBase is the delay before a failed poll is repeated. It doubles with each consecutive
	// failure.
	pollBackoffBase Milliseconds = 500
	// maxPollDoublings is the maximum number of times that this delay doubles. It only keeps the factor of
	// the delay small: maxPollBackoff limits the delay after fewer doublings.
	maxPollDoublings = 4
	// pollServiceTime is the time allotted to discovery for the poll of one sidecar: it serves one at a time.
	pollServiceTime Milliseconds = 60
	// pollTimeout is the longest time that a poll takes: discovery may delay the response by up to 2 s.
	// Package discovery cancels the poll slightly earlier (polledResponseSlack).
	pollTimeout Milliseconds = 2100
	// uncontendedPollTime is the time allowed for a poll while no other sidecar polls.
	uncontendedPollTime Milliseconds = 1000
	// propagationLimit is the time within which a change that discovery reports has to reach a sidecar,
	// counted from when discovery is reachable.
	propagationLimit Milliseconds = 6000
	// maxPollBackoff is the longest delay that keeps propagationLimit. In the worst case, a poll that still
	// fails starts just before discovery becomes reachable, and the delay and the successful poll follow: two
	// polls of up to pollTimeout. Half of pollBackoffBase is a margin.
	maxPollBackoff = propagationLimit - 2*pollTimeout - pollBackoffBase/2
	// firstPollSpreadFraction is the fraction of MaxPollInterval over which the first polls of all sidecars
	// are spread.
	firstPollSpreadFraction = 0.5
	// minPollRetriesPerInterval is the number of delays between failed polls that have to fit into
	// MaxPollInterval.
	minPollRetriesPerInterval = 3
)

// pollStartScheduler decides when polling of the endpoint list starts: once at the start of the balancer, and
// again after each failed poll or ended watch. The delays are such that one discovery service can serve all
// sidecars. Regular polls need no action of the balancer: the Watcher of package discovery repeats its calls
// until one fails.
type pollStartScheduler struct {
	failures int // consecutive failed polls
}

// resetBackoff resets the backoff after a successful poll.
func (p *pollStartScheduler) resetBackoff() { p.failures = 0 }

// firstDelay returns the delay of the first poll, which spreads the first polls of all sidecars over time.
// Otherwise, sidecars that start together would overload discovery: most polls would time out, and their
// repetitions would find discovery still busy.
func (p *pollStartScheduler) firstDelay(cfg *Config) Milliseconds {
	spread := min(pollRoundTime(cfg), propagationLimit-uncontendedPollTime)
	if cfg.MaxPollInterval > 0 {
		spread = min(spread, cfg.MaxPollInterval*firstPollSpreadFraction)
	}
	instanceCount := max(cfg.InstanceCount, 1)
	position := max(cfg.InstanceIndex, 0) % instanceCount
	return spread * Milliseconds(position) / Milliseconds(instanceCount)
}

// retryDelay counts a failed poll or an ended watch and returns the delay before the next one: an exponential
// backoff with jitter, limited by maxPollBackoff and MaxPollInterval. If discovery cannot serve all sidecars
// within that limit, each sidecar waits for its turn in a round of all sidecars instead.
func (p *pollStartScheduler) retryDelay(cfg *Config, now Milliseconds, random *randomSource) Milliseconds {
	maxDelay := maxPollBackoff
	if cfg.MaxPollInterval > 0 {
		maxDelay = min(maxDelay, cfg.MaxPollInterval/minPollRetriesPerInterval)
	}
	backoff := pollBackoffBase.scaled(backoffFactor(p.failures, maxPollDoublings))
	delay := min(backoff, maxDelay).scaled(random.jitter())
	if roundTime := pollRoundTime(cfg); roundTime > pollTimeout+maxDelay {
		delay = timeUntilTurn(cfg, now, roundTime, random)
	}
	p.failures++
	return delay
}

// timeUntilTurn returns the time until a random moment within this sidecar's turn in a round of all sidecars.
// Rounds are aligned to the epoch of [Milliseconds], so that all sidecars agree on them.
func timeUntilTurn(cfg *Config, now, roundTime Milliseconds, random *randomSource) Milliseconds {
	turn := (float64(cfg.InstanceIndex) + random.next()) / float64(cfg.InstanceCount)
	position := roundTime.scaled(turn)
	return modulo(position-modulo(now, roundTime)+roundTime, roundTime)
}

// pollRoundTime returns the duration of a round, in which discovery can serve one poll of each sidecar.
func pollRoundTime(cfg *Config) Milliseconds {
	return pollServiceTime * Milliseconds(cfg.InstanceCount)
}

// scheduleFirstPoll schedules the first poll of the endpoint list, or polls it immediately.
func (b *Balancer) scheduleFirstPoll() {
	delay := b.polling.firstDelay(&b.cfg)
	if delay == 0 {
		b.emit(Action{Kind: WatchEndpoints})
		return
	}
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}

// retryPoll schedules the next poll after a failed poll or an ended watch.
func (b *Balancer) retryPoll() {
	delay := b.polling.retryDelay(&b.cfg, b.now, &b.random)
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}
