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
	// heldFraction is the fraction of the rest that may be held for peers. The other part is for garbage that has not been
	// collected yet, and for fragmentation.
	heldFraction = 0.75
	// minProcessBytes is the least that a process gets for the runtime, and the least that it may hold.
	minProcessBytes = 2 << 20
)

// Limits bounds the machine resources that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores; 0: no limit
	MemoryMB float64 `json:"memory_mb"` // in units of 2^20 bytes; 0: no limit
	Sockets  int     `json:"sockets"`   // open sockets; 0 or missing in the file: defaultSockets
}

// Apply sets the limits of the Go runtime for the only process of a sidecar.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	l.ApplyMemory(1)
}

// ApplyMemory sets the memory limit of the Go runtime to an equal share of the sidecar's limit, which all processes
// of the sidecar share. The argument is the number of these processes: two during an upgrade, otherwise one.
func (l Limits) ApplyMemory(processes int) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(min(l.shareOf(goMemoryFraction, processes), l.unmappedBytes(processes)))
	}
}

// HeldBytes returns how many bytes each of the processes may hold for its peers: heads, bodies, buffers and goroutines.
func (l Limits) HeldBytes(processes int) int64 {
	if l.MemoryMB <= 0 {
		return math.MaxInt64 / 2
	}
	available := l.unmappedBytes(processes) - idleBytes
	return max(minProcessBytes, int64(float64(available)*heldFraction))
}

// unmappedBytes returns what each of the processes may have resident beside the program's code.
func (l Limits) unmappedBytes(processes int) int64 {
	return max(minProcessBytes, l.shareOf(residentFraction, processes)-mappedBytes)
}

// shareOf returns an equal share of a fraction of the memory limit in bytes.
func (l Limits) shareOf(fraction float64, processes int) int64 {
	return int64(l.MemoryMB * fraction * bytesPerMB / float64(processes))
}
