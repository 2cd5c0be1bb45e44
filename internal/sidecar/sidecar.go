// Package sidecar builds the components of the sidecar process, starts them and shuts them down. A client's request
// passes through these packages in order:
//
//	downstream  accepts client connections and reads requests
//	eventloop   owns the open requests and the balancer, which decides where each attempt is sent
//	upstream    sends attempts to endpoints over pooled connections
//
// Other packages run beside them: discovery keeps the endpoint list up to date, admin serves readiness and metrics, and
// upgrade hands the listener and the learned state of a predecessor process over to its successor. The packages share
// the types of package exchange and are configured through package config.
//
// service.start starts a goroutine for each component that needs one. These goroutines run until serve cancels its own
// context, which it does after the caller's context has ended: a shutdown needs the components until the last request
// has its response.
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

// Run serves until ctx is done, and then shuts down gracefully: accepted requests still get their responses. If another
// process of this sidecar is running, Run takes over from it. Each signal on reloads triggers a configuration reload.
// Run owns cfg. It returns a *ListenError if it cannot listen on an address, and another error if serving ends before
// ctx is done or the shutdown fails.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan os.Signal, log *slog.Logger) error {
	resources := startupResources{handover: upgrade.NewHandover(cfg, log)}
	if resources.handover != nil {
		resources.takeOver(cfg, log)
	}
	if err := resources.listen(cfg); err != nil {
		return err
	}
	return serve(ctx, cfg, resources, reloads, log)
}

// startupResources holds the listeners and the upgrade state that exist before the components are built. When serve is
// called, only clientListener is always set.
type startupResources struct {
	clientListener   net.Listener      // for requests of the application
	adminListener    net.Listener      // for readiness and metrics; nil without an admin address
	handover         *upgrade.Handover // to predecessor and successor; nil if upgrades are not possible
	predecessorState *upgrade.State    // received from the predecessor; nil without one
	readHooks        readHooks         // for tests
}

// readHooks are functions that tests run before and after each read from a client connection; see
// downstream.ConnTracker. Each may be nil.
type readHooks struct {
	before func(client net.Addr)
	after  func()
}

// takeOver gets the learned state and the client listener from the process that is serving, if there is one.
func (r *startupResources) takeOver(cfg *config.Config, log *slog.Logger) {
	state, listener, err := r.handover.RequestState()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err != nil {
		log.Info("starting cold", "error", err)
		return
	}
	r.predecessorState = state
	r.clientListener = listener
	cfg.UsePredecessor(state.Discovery, state.List)
	log.Info("taking over", "endpoints", len(state.List.Endpoints), "revision", state.List.Revision)
}

// serve runs the components until ctx is done and the shutdown that follows is complete. It owns the context of the
// components, and returns when the last of their goroutines has ended.
func serve(
	ctx context.Context, cfg *config.Config, resources startupResources, reloads <-chan os.Signal, log *slog.Logger,
) error {
	log.Info("listening", "address", resources.clientListener.Addr().String())
	componentCtx, stopComponents := context.WithCancel(context.Background())
	s := newService(componentCtx, cfg, resources, log)
	defer s.upstreamPool.CloseAll() // after the last attempt has ended
	var components sync.WaitGroup
	s.start(componentCtx, &components, reloads)
	defer components.Wait()
	defer stopComponents()
	return s.serveClients(ctx)
}

// start starts the goroutines of the components and adds them to components. They end when ctx is done.
func (s *service) start(ctx context.Context, components *sync.WaitGroup, reloads <-chan os.Signal) {
	components.Go(s.loop.Run)
	components.Go(func() { s.watcher.Run(ctx) })
	components.Go(func() { s.upstreamPool.Run(ctx) })
	components.Go(func() { s.loop.WatchReloads(ctx, s.cfg, reloads) })
	if s.resources.adminListener != nil {
		server := admin.New(s.metrics, s.state.IsReady)
		components.Go(func() { server.Serve(ctx, s.resources.adminListener, s.log) })
	}
	if s.resources.handover != nil {
		process := upgrade.Process{
			Listener:     s.resources.clientListener,
			ExportState:  s.loop.ExportState,
			CountChanged: s.applyProcessCount,
		}
		components.Go(func() { s.resources.handover.Run(ctx, process) })
	}
}

// serveClients serves clients until ctx is done, and then shuts the client server down.
func (s *service) serveClients(ctx context.Context) error {
	server := s.clientServer.HTTPServer(s.log)
	listener := downstream.NewListener(s.resources.clientListener, s.clientConns, s.upstreamPool)
	if ctx.Err() != nil { // shutdown signal during startup: the first responses must already announce the close
		s.state.ShuttingDown.Store(true)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }() // ends when shutDown closes the listener
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve clients at %s: %w", s.resources.clientListener.Addr(), err)
	case <-ctx.Done():
		return s.shutDown(server, listener)
	}
}
