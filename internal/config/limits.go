package config

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// MinSockets is the least number of sockets that a configuration may allow.
	MinSockets = 32
	// ReservedSockets are the descriptors kept for the listeners, discovery, the poller and the standard streams.
	ReservedSockets = 24

	defaultSockets = 1024
	bytesPerMB     = 1 << 20
	// goMemoryFraction is the part of the memory limit that the Go runtime may use; the rest is for what it does not
	// count: the program's text and the kernel's socket buffers.
	goMemoryFraction = 0.75
)

// Limits bound the machine resources that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores; 0: no limit
	MemoryMB float64 `json:"memory_mb"` // in units of 2^20 bytes; 0: no limit
	Sockets  int     `json:"sockets"`   // open sockets; 0 in the file: the default
}

// Apply sets the limits of the Go runtime for a process that runs alone.
func (l Limits) Apply() {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	l.ApplyMemory(1)
}

// ApplyMemory sets this process's part of the memory limit, which all processes of this sidecar share.
func (l Limits) ApplyMemory(processes int) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * goMemoryFraction * bytesPerMB / float64(processes)))
	}
}
