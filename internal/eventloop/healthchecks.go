package eventloop

import (
	"time"

	"cindersaddle/balance"
)

// startHealthCheck checks an endpoint in a goroutine of its own, unless the endpoint is draining or gone.
func (l *Loop) startHealthCheck(id balance.EndpointID) {
	endpoint := l.endpoints.byID[id]
	if endpoint == nil || endpoint.Closed.Load() {
		return
	}
	sentAt := l.clock.now
	l.running.Go(func() {
		ending := l.upstreamClient.CheckHealth(l.ctx, endpoint)
		duration := l.clock.milliseconds(time.Now()) - sentAt
		l.inbox.post(healthCheckEnd{endpoint: endpoint, ending: ending, duration: duration})
	})
}
