package balance

// maxSavedWindowFraction is the fraction of the overload window whose tokens can be saved.
const maxSavedWindowFraction = 0.25

// slowStartLoadFraction is the fraction of the overload factor that each sidecar uses. The rest is a margin,
// because the sum of the attempts of all sidecars varies at random.
const slowStartLoadFraction = 0.5

// slowStartPriorResponses is the number of responses that the refill rate assumes in addition to those
// received. It is low, so that the assumed responses of many sidecars do not add up.
const slowStartPriorResponses = 1

// minSlowStartDuration is used in place of a shorter duration, because the duration is a divisor.
const minSlowStartDuration Milliseconds = 1

// tokenPolicy determines which saved slow-start tokens allow an attempt.
type tokenPolicy bool

const (
	anySavedToken tokenPolicy = false // any saved token allows an attempt
	recentToken   tokenPolicy = true  // a single token saved for longer than the overload window allows none
)

// slowStart is a token bucket that limits the attempts of this sidecar to an endpoint that has just started.
// No attempt exceeds the limit, because an endpoint in slow start fails when the attempts of all sidecars
// exceed its capacity times the overload factor for the duration of the overload window.
type slowStart struct {
	startedAt   Milliseconds // when the slow start began
	tokens      float64      // allowed attempts; each attempt, including a retry, takes one token
	updatedAt   Milliseconds // time of the last refill
	fullTokenAt Milliseconds // when tokens reached 1
}

// start begins a slow start. initialTokens is random, so that the sidecars do not all send their first
// attempts at the same time.
func (s *slowStart) start(since, now Milliseconds, initialTokens float64) {
	s.startedAt = since
	s.tokens = initialTokens
	s.updatedAt = now
}

// refill adds the tokens for the time since the last refill. rate is in tokens per millisecond. The bucket
// holds one token, or the tokens of maxSavedWindowFraction of the overload window if that is more.
func (s *slowStart) refill(now Milliseconds, rate float64, overloadWindow Milliseconds) {
	if s.tokens < 1 {
		s.fullTokenAt = s.updatedAt + Milliseconds((1-s.tokens)/rate)
	}
	limit := max(1, rate*float64(overloadWindow)*maxSavedWindowFraction)
	s.tokens = min(s.tokens+rate*float64(now-s.updatedAt), limit)
	s.updatedAt = now
}

// takeToken takes the token for an attempt. Outside slow start the tokens are not used, and start sets them
// to a new value.
func (s *slowStart) takeToken() { s.tokens-- }

// halveTokens halves the tokens when a successor takes over, which gets the other half.
func (s *slowStart) halveTokens() { s.tokens /= 2 }

// allowsAttempt reports whether the endpoint may get an attempt. Call refill first. With recentToken, a
// single token that was saved for too long allows no attempt, but stays in the bucket for requests with
// anySavedToken. The time does not matter if the bucket holds more than one token: then the rate is so high
// that tokens are not saved for long.
func (s *slowStart) allowsAttempt(policy tokenPolicy, overloadWindow Milliseconds) bool {
	if s.tokens == 1 && policy == recentToken {
		savedTooLong := s.updatedAt > s.fullTokenAt+overloadWindow
		return !savedTooLong
	}
	return s.tokens >= 1
}

// inSlowStart reports whether an endpoint is in slow start.
func (b *Balancer) inSlowStart(ep *endpoint) bool {
	return b.now < ep.slowStart.startedAt+b.cfg.SlowStartDuration
}

// slowStartCapacityFraction returns a lower bound of the fraction of its full capacity that an endpoint has
// at the moment. It grows from the initial fraction to 1 during slow start.
func (b *Balancer) slowStartCapacityFraction(ep *endpoint) float64 {
	elapsed := max(0, b.now-ep.slowStart.startedAt)
	progress := ratio(elapsed, max(b.cfg.SlowStartDuration, minSlowStartDuration))
	return b.cfg.SlowStartInitialFraction + (1-b.cfg.SlowStartInitialFraction)*min(1, progress)
}

// startSlowStart starts the slow start of an endpoint and resets its rotation credit.
func (b *Balancer) startSlowStart(ep *endpoint, since Milliseconds) {
	ep.slowStart.start(since, b.now, b.random.next())
	ep.rotation.resetCredit()
}

// refillSlowStart refills the tokens of an endpoint in slow start. The rate is the endpoint's share, by its
// present capacity, of the responses that this sidecar receives, multiplied by a fraction of the overload
// factor, or by 1 if that is more. It is based on responses rather than requests, because clients repeat
// requests in an overload.
func (b *Balancer) refillSlowStart(ep *endpoint) {
	b.decayResponseCounts()
	totalCapacity := max(b.rotation.totalCapacity, ep.candidate.capacity)
	loadFactor := max(1, b.cfg.SlowStartOverloadFactor*slowStartLoadFraction)
	sidecarRate := b.responsesPerMillisecond(slowStartPriorResponses)
	rate := sidecarRate * ep.candidate.capacity / totalCapacity * loadFactor
	ep.slowStart.refill(b.now, rate, b.cfg.SlowStartOverloadWindow)
}

// slowStartAllows reports whether a candidate may get an attempt now: it is not in slow start, or has a
// token. Call updateCandidates first.
func (b *Balancer) slowStartAllows(ep *endpoint, policy tokenPolicy) bool {
	return !ep.candidate.inSlowStart || ep.slowStart.allowsAttempt(policy, b.cfg.SlowStartOverloadWindow)
}

// slowStartPolicy returns the token policy for a request. When many endpoints fail a class, all sidecars move
// its requests to the endpoints in slow start at the same time. If any saved token were allowed, each sidecar
// would use one that it saved long ago, and together they would overload these endpoints.
func (b *Balancer) slowStartPolicy(req *request) tokenPolicy {
	if b.classFailing(req) && req.stats.meanScore < widespreadFailureScore {
		return recentToken
	}
	return anySavedToken
}
