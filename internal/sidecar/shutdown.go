package sidecar

import (
	"context"
	"net/http"
	"time"

	"cindersaddle/internal/downstream"
	"cindersaddle/internal/exchange"
)

// shutDown shuts the client server down within the time limits of exchange.ShutdownTimes. Accepted requests still get
// their responses. If a successor has taken over, new connections go to it; otherwise this process accepts them for
// Config.AcceptDuringShutdown.
func (s *service) shutDown(server *http.Server, listener *downstream.Listener) error {
	takenOver := s.resources.handover.Retire()
	s.log.Info("ending", "upgrade", takenOver)
	longestDeadline := exchange.LongestDeadline(s.state.Settings.Load().Classes)
	times := exchange.NewShutdownTimes(time.Now(), min(longestDeadline, exchange.MaxShutdownDeadline))
	s.state.Shutdown.Store(times)
	s.state.ShuttingDown.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), times.EndBy)
	defer cancel()
	if takenOver {
		return s.clientServer.ShutdownAfterUpgrade(ctx, server, listener)
	}
	return s.clientServer.Shutdown(ctx, server, listener, s.cfg.AcceptDuringShutdown)
}
