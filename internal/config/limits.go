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
	// goMemoryFraction is the fraction of the memory limit that the Go runtime may use. The rest is for memory that the
	// runtime does not count: the program's code and the kernel's socket buffers.
	goMemoryFraction = 0.75
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
		debug.SetMemoryLimit(int64(l.MemoryMB * goMemoryFraction * bytesPerMB / float64(processes)))
	}
}
