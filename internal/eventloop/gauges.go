package eventloop

import (
	"time"

	"cindersaddle/internal/metrics"
)

// startGauges publishes the gauges once, and returns a channel that ticks when they are to be published again and a
// function that stops the ticks. Without an admin address the gauges cannot be read, so they are not published and the
// channel is nil.
func (l *Loop) startGauges() (ticks <-chan time.Time, stop func()) {
	if l.cfg.AdminListen == "" {
		return nil, func() {}
	}
	l.publishGauges()
	ticker := time.NewTicker(time.Second / metrics.GaugeUpdatesPerSecond)
	return ticker.C, ticker.Stop
}

// publishGauges stores the gauges that only the loop can compute.
func (l *Loop) publishGauges() {
	// UnavailableEndpoints comes first, so that a reader that sees new endpoints in Endpoints also sees those of them
	// that are unavailable.
	l.metrics.UnavailableEndpoints.Store(int64(l.balancer.UnavailableCount(l.clock.now)))
	l.metrics.Endpoints.Store(int64(l.endpoints.len()))
}
