package eventloop

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cindersaddle/internal/discovery"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// drainCase is how a sidecar follows discovery, and when it starts.
type drainCase struct {
	polled         bool          // the balancer polls discovery; otherwise lists are pushed
	startsWithList bool          // it starts with a complete list
	startDelay     time.Duration // from the start of the outage to that of the sidecar; 0: it runs long before
}

// limit returns within which time after an outage of the given length the sidecar must notice a drain. The service counts a
// drain as announced 6 s after discovery has it and can be reached, whatever a failed or aborted call allows: nothing new may
// be sent to the endpoint from then on. Pushed lists count at once, and the grace period is all the time there is, but for a
// watch that a short outage interrupted.
func (c drainCase) maxNoticeDelay(mode failureMode, outage time.Duration) time.Duration {
	const announced, grace = 6 * time.Second, 250 * time.Millisecond // as in the settings
	limit := announced
	switch {
	case c.polled:
	case c.startDelay > 0:
		limit = grace
	default:
		limit = max(grace, announced-outage)
	}
	if mode == truncatedResponse { // the rest of a response that has begun is waited for
		limit = max(limit, discovery.AgentResponseSlack)
	}
	return limit
}

// Discovery is down for a while, in one of the failure modes, and an endpoint begins to drain meanwhile. Requests that are still
// sent there would be lost when it exits: the sidecar must stop sending before the drain counts as announced.
func TestDrainIsNoticedInTimeAfterDiscoveryOutage(t *testing.T) {
	for _, mode := range failureModes {
		for name, c := range map[string]drainCase{
			"pushed":              {polled: false, startsWithList: true, startDelay: 0},
			"pushed, restarted":   {polled: false, startsWithList: true, startDelay: time.Second},
			"pushed, first start": {polled: false, startsWithList: false, startDelay: time.Second},
			"polled":              {polled: true, startsWithList: true, startDelay: 0},
			"polled, restarted":   {polled: true, startsWithList: true, startDelay: time.Second},
			"polled, first start": {polled: true, startsWithList: false, startDelay: time.Second},
		} {
			t.Run(string(mode)+", "+name, func(t *testing.T) {
				for outage := 200 * time.Millisecond; outage < 22*time.Second; outage += 1130 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						limit := c.maxNoticeDelay(mode, outage)
						if took := timeToNoticeDrain(t, c, mode, outage); took > limit {
							t.Errorf("outage of %v: drain noticed after %v, want %v at most", outage, took, limit)
						}
					})
				}
			})
		}
	}
}

// timeToNoticeDrain returns how long after the end of an outage the sidecar stops sending to an endpoint that drains.
func timeToNoticeDrain(t *testing.T, c drainCase, mode failureMode, outage time.Duration) time.Duration {
	first, second := sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"), sidecartest.ReadyEndpoint("s-2", "127.0.0.1:2")
	ctx, cancel := context.WithCancel(t.Context())
	agent := newFailingDiscovery(ctx, c, mode, outage, first, second)
	cfg := sidecartest.Config(t, first, second)
	cfg.Balance.PolledDiscovery = c.polled
	cfg.Balance.InstanceCount = 60
	cfg.Balance.InstanceIndex = 7
	cfg.Balance.MaxPollInterval = 10000
	cfg.KnownEndpoints.Revision = agent.listBefore.Revision
	cfg.KnownEndpoints.Complete = c.startsWithList

	l := New(ctx, cfg, &exchange.ServiceState{}, &metrics.Metrics{}, slog.New(slog.DiscardHandler))
	client := upstream.NewClient(upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 116}), nil, "", l.metrics)
	l.Attach(client, discovery.NewWatcher(cfg, l))
	l.watcher.Dial = agent.dial
	var running sync.WaitGroup
	running.Go(l.Run)
	running.Go(func() { l.watcher.Run(ctx) })
	synctest.Wait()
	endpoint := l.endpoints.byName[first.ID]
	for !endpoint.Closed.Load() && time.Since(agent.upAt) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	running.Wait()
	return time.Since(agent.upAt)
}

// newFailingDiscovery returns a discovery whose outage begins before the sidecar starts, as the case has it, or at any moment
// of a watch. The first endpoint drains after the outage.
func newFailingDiscovery(
	ctx context.Context, c drainCase, mode failureMode, outage time.Duration, first, second membership.Endpoint,
) *failingDiscovery {
	draining := first
	draining.Phase = "draining"
	downAt := time.Now()
	if c.startDelay > 0 {
		downAt = downAt.Add(-min(c.startDelay, outage/2))
	} else {
		downAt = downAt.Add(5*time.Second + 7*outage%(4200*time.Millisecond))
	}
	return &failingDiscovery{
		mode:       mode,
		ctx:        ctx,
		downAt:     downAt,
		upAt:       downAt.Add(outage),
		listBefore: membership.EndpointList{Revision: 41, Complete: true, Endpoints: []membership.Endpoint{first, second}},
		listAfter:  membership.EndpointList{Revision: 42, Complete: true, Endpoints: []membership.Endpoint{draining, second}},
	}
}
