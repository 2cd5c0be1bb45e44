// Package sidecar builds the sidecar process from the other packages, starts it and shuts it down. A client's request passes
// through them in this order:
//
//	downstream  accepts connections of clients and reads requests
//	eventloop   owns the requests and package balance, which decides what is sent where
//	upstream    sends attempts to endpoints over its pool of connections
//
// Beside these, discovery follows the endpoint list, admin serves readiness and metrics, and upgrade connects the predecessor and
// the successor of an upgrade. The packages share the types of package exchange; config loads what they are configured with.
//
// The components that do work of their own have one goroutine each, started by service.start and ended by the context that
// serve owns. They outlive the caller's context: a shutdown needs them until the last request has its response.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/discovery"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/eventloop"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/metrics"
	"cindersaddle/internal/upgrade"
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

// Run serves until ctx is done, and then until all requests that were accepted have their responses. On each signal of reloads
// it loads the configuration again. If another process of this sidecar runs, Run takes over from it. Run owns cfg, and returns
// an error if an address cannot be listened at, or if serving ends before ctx does.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan os.Signal, log *slog.Logger) error {
	env := environment{upgrade: upgrade.NewHandover(cfg, log)}
	if env.upgrade != nil {
		env.takeOver(cfg, log)
	}
	if err := env.listen(cfg); err != nil {
		return err
	}
	return serve(ctx, cfg, env, reloads, log)
}

// environment is what connects the process to others. Only clients is always set.
type environment struct {
	clients     net.Listener      // for the application's requests
	admin       net.Listener      // for readiness and metrics; nil: there is no admin address
	upgrade     *upgrade.Handover // to the other process of an upgrade; nil: upgrades are not possible
	predecessor *upgrade.State    // learned by the previous process; nil: there is none
	readHooks   readHooks         // for tests
}

// readHooks are functions that tests run around each read from a client; see downstream.ConnTracker. Each may be nil.
type readHooks struct {
	before func(client net.Addr)
	after  func()
}

// takeOver gets the state and the listener of the process that serves now, if there is one.
func (env *environment) takeOver(cfg *config.Config, log *slog.Logger) {
	state, err := env.upgrade.RequestState()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		log.Info("starting cold", "error", err)
		return
	}
	env.predecessor = state
	env.clients = env.upgrade.PredecessorListener()
	cfg.UsePredecessor(state.Discovery, state.List)
	log.Info("taking over", "endpoints", len(state.List.Members), "revision", state.List.Revision)
}

// listen opens the listeners that the environment does not have yet. Where there is an admin address, the clients' address
// is shared with the other process of an upgrade.
func (env *environment) listen(cfg *config.Config) (err error) {
	if cfg.AdminListen == "" {
		if env.clients, err = listenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", cfg.Listen) }); err != nil {
			return fmt.Errorf("clients' address %q: %w", cfg.Listen, err)
		}
		return nil
	}
	if env.clients == nil {
		if env.clients, err = listenWithRetry(func() (net.Listener, error) { return downstream.ListenShared(cfg.Listen) }); err != nil {
			return fmt.Errorf("clients' address %q: %w", cfg.Listen, err)
		}
	}
	if env.admin, err = listenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", cfg.AdminListen) }); err != nil {
		env.clients.Close()
		return fmt.Errorf("admin address %q: %w", cfg.AdminListen, err)
	}
	return nil
}

// serve runs the components until ctx is done and the shutdown after it has ended. It owns the context of the components,
// and returns after the last of their goroutines.
func serve(ctx context.Context, cfg *config.Config, env environment, reloads <-chan os.Signal, log *slog.Logger) error {
	log.Info("listening", "address", env.clients.Addr().String())
	inner, stop := context.WithCancel(context.Background())
	s := newService(inner, cfg, env, log)
	defer s.pool.CloseAll() // after the last attempt has ended
	var tasks sync.WaitGroup
	s.start(inner, &tasks, reloads)
	defer tasks.Wait()
	defer stop()
	return s.serveClients(ctx)
}

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
	s.loop.TakeOverFrom(env.predecessor)
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

// newPool returns the pool of connections to servers, of which applyLimits sets the limit. idleTime is how long it keeps an
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

// start starts the goroutines of the components. They end when ctx is done.
func (s *service) start(ctx context.Context, tasks *sync.WaitGroup, reloads <-chan os.Signal) {
	tasks.Go(s.loop.Run)
	tasks.Go(func() { s.watcher.Run(ctx) })
	tasks.Go(func() { s.pool.Run(ctx) })
	tasks.Go(func() { s.loop.WatchReloads(ctx, s.cfg, reloads) })
	if s.env.admin != nil {
		server := admin.New(s.counters, s.state.IsReady)
		tasks.Go(func() { server.Serve(ctx, s.env.admin, s.log) })
	}
	if s.env.upgrade != nil {
		s.env.upgrade.Attach(s.env.clients, s.applyLimits)
		tasks.Go(func() { s.env.upgrade.Run(ctx, s.loop.ExportState) })
	}
}

// serveClients serves clients until ctx is done, and then shuts down.
func (s *service) serveClients(ctx context.Context) error {
	server := s.clients.HTTPServer(s.log)
	listener := downstream.NewListener(s.env.clients, s.conns, s.pool)
	if ctx.Err() != nil { // the signal came during the start: the first responses must announce the close
		s.state.ShuttingDown.Store(true)
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }() // ends when shutDown closes the listener
	select {
	case err := <-failed:
		return fmt.Errorf("serve clients at %s: %w", s.env.clients.Addr(), err)
	case <-ctx.Done():
		return s.shutDown(server, listener)
	}
}
