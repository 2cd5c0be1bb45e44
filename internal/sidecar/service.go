package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/eventloop"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upstream"
)

const (
	// connIdleFraction is the fraction of an endpoint's idle timeout after which the sidecar closes an idle connection. A request
	// that is written while the endpoint closes the connection fails, so that the sidecar must close it first.
	connIdleFraction = 0.8
	// defaultConnectTimeout applies where the configuration has none.
	defaultConnectTimeout = time.Second
	// defaultConnIdleTime applies where the configuration has no idle timeout.
	defaultConnIdleTime = time.Minute
)

// Paths of health checks. The second one returns a load report too.
const (
	healthCheckPath = "/alive"
	loadReportPath  = "/metrics/load"
)

// service holds the components of the process. Its fields do not change.
type service struct {
	cfg      *config.Config // at the start; reloads do not change it
	env      environment
	log      *slog.Logger
	state    *exchange.ServiceState
	counters *metrics.Metrics
	loop     *eventloop.Loop
	watcher  *discovery.Watcher
	pool     *upstream.Pool
	conns    *downstream.ConnTracker
	clients  *downstream.Server
}

// newService builds the components. They run until ctx is done.
func newService(ctx context.Context, cfg *config.Config, env environment, log *slog.Logger) *service {
	s := &service{
		cfg:      cfg,
		env:      env,
		log:      log,
		state:    &exchange.ServiceState{},
		counters: &metrics.Metrics{},
	}
	s.pool = newPool(cfg, shortenIdleTimeout(cfg))
	s.loop = eventloop.New(ctx, cfg, s.state, s.counters, log)
	s.loop.SetPredecessorState(env.predecessor)
	s.watcher = discovery.NewWatcher(cfg, s.loop)
	client := upstream.NewClient(s.pool, cfg.LoadReportFields, checkPath(cfg), s.counters)
	s.loop.Attach(client, s.watcher)
	s.conns = downstream.NewConnTracker(0) // applyLimits sets the limit
	s.conns.Log = log
	s.conns.BeforeRead = env.readHooks.before
	s.conns.AfterRead = env.readHooks.after
	s.applyLimits(1)
	replayBytes := exchange.ReplayBufferBytes(cfg.Limits.MemoryMB)
	s.clients = downstream.NewServer(s.state, s.loop, s.conns, replayBytes, ctx.Done())
	return s
}

// shortenIdleTimeout replaces the endpoints' idle timeout in the configuration by the time after which the pool closes an idle
// connection, as the balancer must know that, and returns it; 0: the configuration has no idle timeout.
func shortenIdleTimeout(cfg *config.Config) time.Duration {
	idleTime := (cfg.Balance.ConnIdleTimeout * connIdleFraction).Duration()
	if idleTime > 0 {
		cfg.Balance.ConnIdleTimeout *= connIdleFraction
	}
	return idleTime
}

// newPool returns the pool of connections to endpoints, of which applyLimits sets the limit. idleTime is how long it keeps an
// idle connection; 0: the default.
func newPool(cfg *config.Config, idleTime time.Duration) *upstream.Pool {
	return upstream.NewPool(upstream.PoolConfig{
		ConnectTimeout: cmp.Or(cfg.Balance.ConnectTimeout.Duration(), defaultConnectTimeout),
		IdleTimeout:    cmp.Or(idleTime, defaultConnIdleTime),
		ReuseDelay:     cfg.ConnReuseDelay,
	})
}

// checkPath returns the path of health checks.
func checkPath(cfg *config.Config) string {
	if cfg.Balance.LoadReports == balance.LoadReportsNone {
		return healthCheckPath
	}
	return loadReportPath
}
