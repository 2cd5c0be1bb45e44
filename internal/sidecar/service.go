package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/eventloop"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/idregistry"
	"cindersaddle/internal/memory"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upstream"
)

const (
	// idleTimeoutFraction is the fraction of the endpoints' idle timeout after which the sidecar closes an idle
	// connection. The sidecar must close it before the endpoint does, because a request that is written while the
	// endpoint closes the connection fails.
	idleTimeoutFraction = 0.8
	// defaultConnectTimeout applies if the configuration has no connect timeout.
	defaultConnectTimeout = time.Second
	// defaultIdleTimeout applies if the configuration has no idle timeout.
	defaultIdleTimeout = time.Minute
)

// Endpoint paths for health checks.
const (
	healthCheckPath = "/alive"
	loadReportPath  = "/metrics/load" // the response is also a load report
)

// service holds the components of the process. Its fields do not change after newService, except those that limitsMu guards.
type service struct {
	cfg          *config.Config // as loaded at startup; reloads do not change it
	resources    startupResources
	log          *slog.Logger
	state        *exchange.ServiceState
	metrics      *metrics.Metrics
	memory       *memory.Budget // of everything that the process holds for clients and endpoints
	loop         *eventloop.Loop
	watcher      *discovery.Watcher
	upstreamPool *upstream.Pool
	clientConns  *downstream.ConnTracker
	clientServer *downstream.Server

	limitsMu            sync.Mutex // guards the fields below, and makes changes of limits one after another
	processes           int        // processes that share the limits
	predecessorSettling bool       // the time in which the predecessor may hold more than its share has begun
	predecessorSettled  bool       // that time has ended
}

// newService builds the components. The event loop and the client server stop when ctx is done.
func newService(ctx context.Context, cfg *config.Config, resources startupResources, log *slog.Logger) *service {
	s := &service{
		cfg:       cfg,
		resources: resources,
		log:       log,
		state:     &exchange.ServiceState{},
		metrics:   &metrics.Metrics{},
		memory:    memory.NewBudget(0), // applyLimits sets the limit
	}
	s.metrics.MemoryUsage = s.memory.Usage
	s.upstreamPool = newPool(cfg, shortenIdleTimeout(cfg), s.memory)
	s.loop = eventloop.New(ctx, cfg, s.state, s.metrics, log)
	s.loop.SetPredecessorState(resources.predecessorState)
	s.shareExecutedIDs()
	s.watcher = discovery.NewWatcher(cfg, s.loop)
	client := upstream.NewClient(s.upstreamPool, cfg.LoadReportFields, selectHealthCheckPath(cfg), s.metrics)
	s.loop.Attach(client, s.watcher)
	s.clientConns = downstream.NewConnTracker(0) // applyLimits sets the limit
	s.clientConns.State = s.state
	s.clientConns.Log = log
	s.clientConns.Memory = s.memory
	s.memory.SetReclaim(func() bool { return s.upstreamPool.Evict() || s.clientConns.EvictStalled() })
	s.clientConns.BeforeRead = resources.readHooks.before
	s.clientConns.AfterRead = resources.readHooks.after
	s.applyProcessCount(1)
	replayBytes := exchange.ReplayBudgetBytes(cfg.Limits.MemoryMB)
	s.clientServer = downstream.NewServer(s.state, s.loop, s.clientConns, replayBytes, s.metrics, ctx.Done())
	return s
}

// shareExecutedIDs lets this process and another one, during an upgrade, know which trace IDs may have been executed. If that
// fails, each process knows only its own.
func (s *service) shareExecutedIDs() {
	if s.resources.handover == nil {
		return
	}
	registry, err := idregistry.Open(s.cfg.ScratchDir, s.cfg.Listen)
	if err != nil {
		s.log.Info("trace IDs are not shared with another process", "error", err)
		return
	}
	s.loop.ShareExecutedIDs(registry)
}

// shortenIdleTimeout returns how long the pool keeps an idle connection: idleTimeoutFraction of the endpoints' idle
// timeout, or 0 if the configuration has no idle timeout. If there is one, it also writes the shortened timeout to cfg,
// because the balancer must know when the pool closes a connection.
func shortenIdleTimeout(cfg *config.Config) time.Duration {
	idleTimeout := (cfg.Balance.ConnIdleTimeout * idleTimeoutFraction).Duration()
	if idleTimeout > 0 {
		cfg.Balance.ConnIdleTimeout *= idleTimeoutFraction
	}
	return idleTimeout
}

// newPool returns the pool of connections to endpoints. applyLimits sets the connection limit of the pool. idleTimeout
// is how long the pool keeps an idle connection; 0 means defaultIdleTimeout.
func newPool(cfg *config.Config, idleTimeout time.Duration, budget *memory.Budget) *upstream.Pool {
	return upstream.NewPool(upstream.PoolConfig{
		ConnectTimeout: cmp.Or(cfg.Balance.ConnectTimeout.Duration(), defaultConnectTimeout),
		IdleTimeout:    cmp.Or(idleTimeout, defaultIdleTimeout),
		ReuseDelay:     cfg.ConnReuseDelay,
		Memory:         budget,
	})
}

// selectHealthCheckPath returns the endpoint path for health checks: loadReportPath unless load reports are disabled.
func selectHealthCheckPath(cfg *config.Config) string {
	if cfg.Balance.LoadReports == balance.LoadReportsNone {
		return healthCheckPath
	}
	return loadReportPath
}
