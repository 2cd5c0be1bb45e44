package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// startHealthCheck checks an endpoint in a separate goroutine, unless the endpoint is draining or gone.
func (l *Loop) startHealthCheck(id balance.EndpointID) {
	endpoint := l.endpoints.byID[id]
	if endpoint == nil || endpoint.Closed.Load() {
		return
	}
	sentAt := l.clock.now
	l.goroutines.Go(func() {
		outcome := l.upstreamClient.CheckHealth(l.ctx, endpoint)
		duration := l.clock.toMilliseconds(time.Now()) - sentAt
		l.inbox.post(healthCheckEnded{endpoint: endpoint, outcome: outcome, duration: duration})
	})
}
