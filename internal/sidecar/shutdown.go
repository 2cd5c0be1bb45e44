package sidecar

import (
	"context"
	"net/http"
	"time"

	"cindersaddle/internal/downstream"
	"cindersaddle/internal/exchange"
)

// shutDown ends serving within the bounds of exchange.ShutdownTimes. Clients get the responses of the requests that were
// accepted. New connections go to the successor if there is one, and are otherwise served for Config.AcceptDuringShutdown.
func (s *service) shutDown(server *http.Server, listener *downstream.Listener) error {
	takenOver := s.env.upgrade.Retire()
	s.log.Info("ending", "upgrade", takenOver)
	longestDeadline := exchange.LongestDeadline(s.state.Settings.Load().Classes)
	times := exchange.NewShutdownTimes(time.Now(), min(longestDeadline, exchange.MaxShutdownDeadline))
	s.state.Shutdown.Store(times)
	s.state.ShuttingDown.Store(true)
	limit, cancel := context.WithDeadline(context.Background(), times.EndBy)
	defer cancel()
	if takenOver {
		return s.clients.ShutdownAfterUpgrade(limit, server, listener)
	}
	return s.clients.Shutdown(limit, server, listener, s.cfg.AcceptDuringShutdown)
}
