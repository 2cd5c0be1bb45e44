package balance

// tokenPolicy says which slow-start tokens of an endpoint count.
type tokenPolicy bool

const (
	anyToken    tokenPolicy = false // all tokens that were saved up
	recentToken tokenPolicy = true  // a saved token expires after the overload window
)

func (b *Balancer) warmingUp(ep *endpoint) bool { return b.now < ep.warmUpSince+b.cfg.WarmUpDuration }

// warmUpFraction returns the least fraction of its capacity that an endpoint has; 1 after the warm-up.
func (b *Balancer) warmUpFraction(ep *endpoint) float64 {
	progress := ratio(max(0, b.now-ep.warmUpSince), max(b.cfg.WarmUpDuration, 1))
	return b.cfg.WarmUpInitialFraction + (1-b.cfg.WarmUpInitialFraction)*min(1, progress)
}

// slowStartAllows reports whether an endpoint that warms up may get an attempt. It is a hard limit: a token
// bucket, filled at half of the overload factor times what endpoints of this capacity answer for this
// sidecar, times the warm-up fraction. It goes by answers, because clients repeat requests in an overload,
// and assumes only one more: with thirty assumed, small sidecars exceeded the limit. Each sidecar may save
// one token; random first tokens keep the sidecars apart. But where warm endpoints fail, all sidecars turn to
// the one that warms up at the same time: then only a recent token counts.
func (b *Balancer) slowStartAllows(ep *endpoint, policy tokenPolicy) bool {
	pool := max(b.poolCapacity, ep.capacity)
	fillRate := b.answerRate(0, 1) * ep.capacity / pool * max(1, b.cfg.OverloadFactor/2)
	if ep.slowStartTokens < 1 {
		ep.fullTokenAt = ep.tokensUpdatedAt + Milliseconds((1-ep.slowStartTokens)/fillRate)
	}
	limit := max(1, fillRate*float64(b.cfg.OverloadWindow)/4)
	ep.slowStartTokens = min(ep.slowStartTokens+fillRate*float64(b.now-ep.tokensUpdatedAt), limit)
	ep.tokensUpdatedAt = b.now
	if ep.slowStartTokens == 1 && policy == recentToken {
		expired := b.now > ep.fullTokenAt+b.cfg.OverloadWindow
		return !expired
	}
	return ep.slowStartTokens >= 1
}

// startWarmUp starts the warm-up of an endpoint. The first tokens are random, so that the sidecars do not
// send their first attempts at the same time.
func (b *Balancer) startWarmUp(ep *endpoint, since Milliseconds) {
	ep.warmUpSince = since
	ep.slowStartTokens = b.random()
	ep.tokensUpdatedAt = b.now
	ep.inRotation = false
}
