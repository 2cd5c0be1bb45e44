package balance

// slowStartWindowFraction is the part of the overload window for which tokens are saved up at most.
const slowStartWindowFraction = 0.25

// slowStartLoadFraction is the part of the overload factor that one sidecar uses: chance adds to the sum of
// all.
const slowStartLoadFraction = 0.5

// tokenPolicy says which slow-start tokens of an endpoint count.
type tokenPolicy bool

const (
	anyToken    tokenPolicy = false // all tokens that were saved up
	recentToken tokenPolicy = true  // a single saved token expires after the overload window
)

// slowStart limits the attempts to an endpoint during its warm-up: a token bucket of this sidecar. It is a
// hard limit, because an endpoint that warms up fails when the sum of all sidecars exceeds it.
type slowStart struct {
	warmUpSince Milliseconds // start of the warm-up
	tokens      float64      // attempts allowed; each attempt takes one, a retry too
	updatedAt   Milliseconds // time of the last refill
	fullTokenAt Milliseconds // when tokens reached a whole attempt
}

// start starts a warm-up. firstTokens is random, so that the sidecars do not send their first attempts
// together.
func (s *slowStart) start(since, now Milliseconds, firstTokens float64) {
	s.warmUpSince = since
	s.tokens = firstTokens
	s.updatedAt = now
}

// refill adds the tokens of the time since the last refill. rate is in tokens per millisecond. A sidecar
// saves up to one token, or what comes within a part of the overload window.
func (s *slowStart) refill(now Milliseconds, rate float64, overloadWindow Milliseconds) {
	if s.tokens < 1 {
		s.fullTokenAt = s.updatedAt + Milliseconds((1-s.tokens)/rate)
	}
	limit := max(1, rate*float64(overloadWindow)*slowStartWindowFraction)
	s.tokens = min(s.tokens+rate*float64(now-s.updatedAt), limit)
	s.updatedAt = now
}

// spend takes the token of an attempt. It has no effect outside a warm-up, which starts with new tokens.
func (s *slowStart) spend() { s.tokens-- }

// halve gives half of the tokens to a process that takes over.
func (s *slowStart) halve() { s.tokens /= 2 }

// allows reports whether the endpoint may get an attempt. refill comes before it. Only a bucket that is
// limited to one token can be full for long: where the limit is higher, tokens come and go fast, and none
// expires.
func (s *slowStart) allows(policy tokenPolicy, overloadWindow Milliseconds) bool {
	if s.tokens == 1 && policy == recentToken {
		expired := s.updatedAt > s.fullTokenAt+overloadWindow
		return !expired
	}
	return s.tokens >= 1
}

// warmingUp reports whether an endpoint is in its warm-up.
func (b *Balancer) warmingUp(ep *endpoint) bool {
	return b.now < ep.slowStart.warmUpSince+b.cfg.SlowStartDuration
}

// warmUpFraction returns the least fraction of its capacity that an endpoint has; 1 after the warm-up.
func (b *Balancer) warmUpFraction(ep *endpoint) float64 {
	elapsed := max(0, b.now-ep.slowStart.warmUpSince)
	progress := ratio(elapsed, max(b.cfg.SlowStartDuration, 1))
	return b.cfg.SlowStartInitialFraction + (1-b.cfg.SlowStartInitialFraction)*min(1, progress)
}

// startWarmUp starts the warm-up of an endpoint, which enters the rotation anew.
func (b *Balancer) startWarmUp(ep *endpoint, since Milliseconds) {
	ep.slowStart.start(since, b.now, b.random.next())
	ep.rotation.leave()
}

// refillSlowStart refills the tokens of an endpoint that warms up, at a part of the overload factor, but at
// least 1, times what endpoints of its present capacity serve for this sidecar. The rate goes by responses,
// because clients repeat requests in an overload, and assumes only one more response, so that the assumed
// ones of many sidecars do not add up.
func (b *Balancer) refillSlowStart(ep *endpoint) {
	b.advanceResponseRate()
	pool := max(b.rotation.poolCapacity, ep.candidate.capacity)
	loadFactor := max(1, b.cfg.SlowStartOverloadFactor*slowStartLoadFraction)
	rate := b.responsesPerMillisecond(1) * ep.candidate.capacity / pool * loadFactor
	ep.slowStart.refill(b.now, rate, b.cfg.SlowStartOverloadWindow)
}

// slowStartAllows reports whether the warm-up of a candidate allows an attempt now. prepareCandidates comes
// before it.
func (b *Balancer) slowStartAllows(ep *endpoint, policy tokenPolicy) bool {
	return !ep.candidate.warmingUp || ep.slowStart.allows(policy, b.cfg.SlowStartOverloadWindow)
}

// slowStartPolicy returns which tokens count for a request. Where warm endpoints fail a class, all sidecars
// turn to the endpoints that warm up at the same time: tokens saved up for long would be spent together.
func (b *Balancer) slowStartPolicy(req *request) tokenPolicy {
	if b.classFailing(req) && req.stats.meanScore < failingClassScore {
		return recentToken
	}
	return anyToken
}
