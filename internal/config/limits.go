package config

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// MinSockets is the smallest valid value of Limits.Sockets.
	MinSockets = 32
	// ReservedSockets is the number of descriptors, out of a process's share of Limits.Sockets, that are reserved for
	// the listeners, discovery, the poller and the standard streams.
	ReservedSockets = 24

	// defaultSockets is the default of Limits.Sockets.
	defaultSockets = 1024
	// bytesPerMB is the number of bytes in a unit of Limits.MemoryMB.
	bytesPerMB = 1 << 20
	// residentFraction is the largest fraction of the memory limit that all processes together may have resident.
	residentFraction = 0.9
	// goMemoryFraction is the largest fraction of the memory limit that the Go runtime may use. The rest is for memory that
	// the runtime does not count: the program's code and the kernel's socket buffers.
	goMemoryFraction = 0.75
	// mappedBytes is the resident part of the program's code and of its libraries, which the runtime does not count.
	mappedBytes = 8 << 20
	// idleBytes is what the Go runtime uses in a process without connections.
	idleBytes = 2 << 20
	// budgetFraction is the fraction of the rest that may be held for peers. The other part is for garbage that has not been
	// collected yet, and for fragmentation.
	budgetFraction = 0.75
	// successorBytes is what a process leaves for another one that starts beside it and does not serve yet, but no more than
	// successorFraction of the memory limit, so that it can serve enough clients with the least memory.
	successorBytes    = mappedBytes + idleBytes
	successorFraction = 0.125
	// startDivisor divides what a process may hold while its predecessor may hold more than its share.
	startDivisor = 4
	// minProcessBytes is the least that a process gets for the runtime, and the least that it may hold.
	minProcessBytes = 2 << 20
)

// Limits bounds the machine resources that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores; 0: no limit
	MemoryMB float64 `json:"memory_mb"` // in units of 2^20 bytes; 0: no limit
	Sockets  int     `json:"sockets"`   // open sockets; 0 or missing in the file: defaultSockets
}

// MemoryShare describes the part of the memory limit that a process may use.
type MemoryShare struct {
	Processes   int  // processes that share the limit: 2 during an upgrade, otherwise 1
	Upgradable  bool // another process may start beside this one at any time
	JustStarted bool // the other process may still hold what it was allowed before this one started
}

// Apply sets the limits of the Go runtime for the only process of a sidecar.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	l.ApplyMemory(MemoryShare{Processes: 1})
}

// ApplyMemory sets the memory limit of the Go runtime.
func (l Limits) ApplyMemory(share MemoryShare) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(min(l.shareOf(goMemoryFraction, share.Processes), l.unmappedBytes(share)))
	}
}

// BudgetBytes returns how many bytes a process may hold for its peers: heads, bodies, buffers and goroutines.
func (l Limits) BudgetBytes(share MemoryShare) int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	bytes := float64(l.unmappedBytes(share)-idleBytes) * budgetFraction
	if share.JustStarted {
		bytes /= startDivisor
	}
	return max(minProcessBytes, int64(bytes))
}

// unmappedBytes returns what a process may have resident beside the program's code.
func (l Limits) unmappedBytes(share MemoryShare) int64 {
	bytes := l.shareOf(residentFraction, share.Processes) - mappedBytes
	if share.Upgradable && share.Processes == 1 {
		bytes -= min(successorBytes, l.shareOf(successorFraction, 1))
	}
	return max(minProcessBytes, bytes)
}

// shareOf returns an equal share of a fraction of the memory limit in bytes.
func (l Limits) shareOf(fraction float64, processes int) int64 {
	return int64(l.MemoryMB * fraction * bytesPerMB / float64(processes))
}
