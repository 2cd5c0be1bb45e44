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
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"

	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/upgrade"
)

// Run serves until ctx is done, and then until all requests that were accepted have their responses. On each signal of reloads
// it loads the configuration again. If another process of this sidecar runs, Run takes over from it. Run owns cfg. It returns a
// *ListenError if an address cannot be listened at, and another error if serving ends before ctx does.
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
	state, listener, err := env.upgrade.RequestState()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		log.Info("starting cold", "error", err)
		return
	}
	env.predecessor = state
	env.clients = listener
	cfg.UsePredecessor(state.Discovery, state.List)
	log.Info("taking over", "endpoints", len(state.List.Endpoints), "revision", state.List.Revision)
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
		process := upgrade.Process{Listener: s.env.clients, ExportState: s.loop.ExportState, CountChanged: s.applyLimits}
		tasks.Go(func() { s.env.upgrade.Run(ctx, process) })
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
