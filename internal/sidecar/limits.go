package sidecar

import (
	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/downstream"
)

// applyLimits sets this process's share of the sidecar's socket and memory limits. processes is the number of processes
// that share the limits: 1, or more during an upgrade. The sockets that are not reserved are divided evenly between
// clients and endpoints.
func (s *service) applyLimits(processes int) {
	sockets := s.cfg.Limits.Sockets/processes - config.ReservedSockets
	if s.cfg.AdminListen != "" {
		sockets -= admin.MaxConns
	}
	sockets = max(sockets, config.MinSockets-config.ReservedSockets)
	upstreamSockets := sockets / 2
	s.upstreamPool.SetLimit(upstreamSockets)
	heldBytes := s.cfg.Limits.HeldBytes(processes)
	s.memory.SetLimit(heldBytes)
	s.clientConns.SetLimit(min(sockets-upstreamSockets, downstream.MaxConns(heldBytes)))
	s.cfg.Limits.ApplyMemory(processes)
}
