package balance

const (
	// pollBackoffBase is the delay before a failed poll is repeated. It doubles with each failure.
	pollBackoffBase Milliseconds = 500
	// maxPollDoublings limits the growth of this delay.
	maxPollDoublings = 4
	// pollServiceTime is the time that discovery gets for the poll of one sidecar: it serves one at a time.
	pollServiceTime Milliseconds = 60
	// pollTimeout is how long a poll may take: discovery delays it for up to 2 s. Package discovery gives
	// it up a little earlier (polledResponseSlack).
	pollTimeout Milliseconds = 2100
	// pollTimeUncontended is how long a poll takes if no other sidecar polls.
	pollTimeUncontended Milliseconds = 1000
	// propagationLimit is the time within which a sidecar has to know a change that discovery reports,
	// counted from when discovery can be reached.
	propagationLimit Milliseconds = 6000
	// startSpreadFraction is the part of MaxPollInterval over which the first polls of all sidecars are
	// spread.
	startSpreadFraction = 0.5
	// backoffDivisor makes three failed polls in a row fit into MaxPollInterval.
	backoffDivisor = 3
)

// pollBackoff decides when the endpoint list is polled, so that one discovery service can serve all sidecars.
type pollBackoff struct {
	failures int // consecutive failed polls
}

// reset forgets the failed polls.
func (p *pollBackoff) reset() { p.failures = 0 }

// firstDelay returns the delay of the first poll, which spreads the polls of all sidecars over time:
// sidecars that start together would overload discovery, most polls would time out, and the repeated ones
// would find it still busy.
func (p *pollBackoff) firstDelay(cfg *Config) Milliseconds {
	spread := min(pollRoundTime(cfg), propagationLimit-pollTimeUncontended)
	if cfg.MaxPollInterval > 0 {
		spread = min(spread, cfg.MaxPollInterval*startSpreadFraction)
	}
	instanceCount := max(cfg.InstanceCount, 1)
	position := max(cfg.InstanceIndex, 0) % instanceCount
	return spread * Milliseconds(position) / Milliseconds(instanceCount)
}

// retryDelay counts a failed poll and returns the delay of the next: it grows, with jitter. The failed poll
// may have just missed the recovery of discovery, and the next one takes time, too: the longest delay is
// what propagationLimit leaves. If discovery cannot serve all sidecars in that time, each sidecar waits for
// its turn in a round of all.
func (p *pollBackoff) retryDelay(cfg *Config, now Milliseconds, random *randomSource) Milliseconds {
	maxDelay := propagationLimit - 2*pollTimeout - pollBackoffBase/2
	if cfg.MaxPollInterval > 0 {
		maxDelay = min(maxDelay, cfg.MaxPollInterval/backoffDivisor)
	}
	backoff := pollBackoffBase.scaled(backoffFactor(p.failures, maxPollDoublings))
	delay := min(backoff, maxDelay).scaled(random.jitter())
	if roundTime := pollRoundTime(cfg); roundTime > pollTimeout+maxDelay {
		delay = untilTurn(cfg, now, roundTime, random)
	}
	p.failures++
	return delay
}

// untilTurn returns the time until this sidecar's turn in a round of all sidecars, at a random moment of
// the turn.
func untilTurn(cfg *Config, now, roundTime Milliseconds, random *randomSource) Milliseconds {
	turn := (float64(cfg.InstanceIndex) + random.next()) / float64(cfg.InstanceCount)
	position := roundTime.scaled(turn)
	return modulo(position-modulo(now, roundTime)+roundTime, roundTime)
}

// pollRoundTime returns the time in which discovery can serve one poll of each sidecar.
func pollRoundTime(cfg *Config) Milliseconds {
	return pollServiceTime * Milliseconds(cfg.InstanceCount)
}

// scheduleFirstPoll polls the endpoint list for the first time.
func (b *Balancer) scheduleFirstPoll() {
	delay := b.polling.firstDelay(&b.cfg)
	if delay == 0 {
		b.emit(Action{Kind: WatchEndpoints})
		return
	}
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}

// retryPoll repeats a failed poll.
func (b *Balancer) retryPoll() {
	delay := b.polling.retryDelay(&b.cfg, b.now, &b.random)
	b.emit(Action{Kind: SetTimer, Token: pollTimerToken, Delay: delay})
}
