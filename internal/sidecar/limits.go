package sidecar

import (
	"runtime/debug"
	"time"

	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/downstream"
	"cindersaddle/internal/exchange"
)

// applyProcessCount sets this process's share of the sidecar's limits. processes is the number of processes that share them: 1, or
// more during an upgrade. While the predecessor may hold more than its share, because it finishes what it has taken on before, the
// share of memory is smaller.
func (s *service) applyProcessCount(processes int) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	if processes > s.processes && s.processes > 0 {
		go returnUnusedMemory()
	}
	s.processes = processes
	if processes > 1 && s.resources.predecessorState != nil && !s.predecessorSettling {
		s.predecessorSettling = true
		time.AfterFunc(exchange.MaxShutdownDeadline, s.endPredecessorSettling)
	}
	s.applyLimits()
}

const (
	// memoryReturnInterval is the time between two times at which unused memory is returned to the kernel.
	memoryReturnInterval = 250 * time.Millisecond
	// memoryReturns is how often that is done after another process has started.
	memoryReturns = 12
)

// returnUnusedMemory returns unused memory to the kernel while this process ends what it has taken on, because the other process
// of an upgrade needs it. The Go runtime would do so later.
func returnUnusedMemory() {
	for range memoryReturns {
		debug.FreeOSMemory()
		time.Sleep(memoryReturnInterval)
	}
}

// endPredecessorSettling gives this process its full share of memory.
func (s *service) endPredecessorSettling() {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.predecessorSettled = true
	s.applyLimits()
}

// applyLimits sets the limits of this process. The sockets that are not reserved are divided evenly between clients and endpoints.
// The caller holds limitsMu.
func (s *service) applyLimits() {
	sockets := s.cfg.Limits.Sockets/s.processes - config.ReservedSockets
	if s.cfg.AdminListen != "" {
		sockets -= admin.MaxConns
	}
	sockets = max(sockets, config.MinSockets-config.ReservedSockets)
	upstreamSockets := sockets / 2
	share := s.memoryShare()
	budgetBytes := s.cfg.Limits.BudgetBytes(share)
	s.cfg.Limits.ApplyMemory(share)
	s.memory.SetLimit(budgetBytes)
	s.upstreamPool.SetLimit(upstreamSockets)
	s.clientConns.SetLimit(min(sockets-upstreamSockets, downstream.MaxConns(budgetBytes)))
}

// memoryShare returns this process's share of memory. The caller holds limitsMu.
func (s *service) memoryShare() config.MemoryShare {
	return config.MemoryShare{
		Processes:   s.processes,
		Upgradable:  s.resources.handover != nil,
		JustStarted: s.processes > 1 && s.predecessorSettling && !s.predecessorSettled,
	}
}
