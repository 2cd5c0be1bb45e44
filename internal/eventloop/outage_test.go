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
	polled         bool          // the balancer polls discovery; otherwise an agent pushes lists
	startsWithList bool          // the sidecar starts with a complete list
	startDelay     time.Duration // from the start of the outage to the start of the sidecar; 0: it starts long before
}

// maxNoticeDelay returns how long after an outage the sidecar may take to notice a drain; outage is the length of the
// outage. The service considers a drain announced 6 s after discovery lists it and is reachable, even if calls failed
// or were aborted. After that, nothing new may be sent to the endpoint. If lists are pushed, a drain is announced at
// once and only the grace period remains, unless a short outage interrupted a watch.
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
	if mode == truncatedResponse { // the sidecar waits for the rest of a response that has started
		limit = max(limit, discovery.AgentResponseSlack)
	}
	return limit
}

// An endpoint starts to drain while discovery is down. Requests that are still sent to it are lost when it exits, so
// the sidecar must stop sending before the drain counts as announced.
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
							t.Errorf("outage of %v: got drain noticed after %v, want at most %v", outage, took, limit)
						}
					})
				}
			})
		}
	}
}

// timeToNoticeDrain returns how long after the end of an outage the sidecar stops sending to a draining endpoint.
func timeToNoticeDrain(t *testing.T, c drainCase, mode failureMode, outage time.Duration) time.Duration {
	first, second := sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"), sidecartest.ReadyEndpoint("s-2", "127.0.0.1:2")
	ctx, cancel := context.WithCancel(t.Context())
	standIn := newFailingDiscovery(ctx, c, mode, outage, first, second)
	cfg := sidecartest.Config(t, first, second)
	cfg.Balance.PolledDiscovery = c.polled
	cfg.Balance.InstanceCount = 60
	cfg.Balance.InstanceIndex = 7
	cfg.Balance.MaxPollInterval = 10000
	cfg.KnownEndpoints.Revision = standIn.listBefore.Revision
	cfg.KnownEndpoints.Complete = c.startsWithList

	l := New(ctx, cfg, &exchange.ServiceState{}, &metrics.Metrics{}, slog.New(slog.DiscardHandler))
	pool := upstream.NewPool(upstream.PoolConfig{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 116})
	l.Attach(upstream.NewClient(pool, nil, "", l.metrics), discovery.NewWatcher(cfg, l))
	l.watcher.Dial = standIn.dial
	var goroutines sync.WaitGroup
	goroutines.Go(l.Run)
	goroutines.Go(func() { l.watcher.Run(ctx) })
	synctest.Wait()
	endpoint := l.endpoints.byName[first.ID]
	for !endpoint.Closed.Load() && time.Since(standIn.upAt) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	goroutines.Wait()
	return time.Since(standIn.upAt)
}

// newFailingDiscovery returns a stand-in for discovery. Its outage begins c.startDelay before the sidecar starts, or
// half the outage before if that is shorter; with a startDelay of 0 it begins after the start, at varying moments of a
// watch. The first endpoint is draining after the outage.
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
		mode:   mode,
		ctx:    ctx,
		downAt: downAt,
		upAt:   downAt.Add(outage),
		listBefore: membership.EndpointList{
			Revision: 41, Complete: true, Endpoints: []membership.Endpoint{first, second},
		},
		listAfter: membership.EndpointList{
			Revision: 42, Complete: true, Endpoints: []membership.Endpoint{draining, second},
		},
	}
}
