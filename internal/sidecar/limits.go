package sidecar

import (
	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
)

// applyLimits divides the limits of the sidecar among its processes, which are two during an upgrade, and the sockets of this
// process between clients and endpoints.
func (s *service) applyLimits(processes int) {
	sockets := s.cfg.Limits.Sockets/processes - config.ReservedSockets
	if s.cfg.AdminListen != "" {
		sockets -= admin.MaxConns
	}
	sockets = max(sockets, config.MinSockets-config.ReservedSockets)
	upstreamSockets := sockets / 2
	s.pool.SetLimit(upstreamSockets)
	s.conns.SetLimit(sockets - upstreamSockets)
	s.cfg.Limits.ApplyMemory(processes)
}
