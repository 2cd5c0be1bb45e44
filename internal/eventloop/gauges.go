package eventloop

import (
	"time"

	"cindersaddle/internal/metrics"
)

// startGauges publishes the gauges for the first time and returns the ticks at which to do it again, and a function that
// stops these. Without an admin address nobody reads the gauges, and there are no ticks.
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
	// In this order, a reader that finds new endpoints counted finds the unavailable ones among them counted too.
	l.metrics.UnavailableEndpoints.Store(int64(l.balancer.UnavailableCount(l.clock.now)))
	l.metrics.Endpoints.Store(int64(l.endpoints.len()))
}
