package exchange

import (
	"math"
	"sync/atomic"
)

const (
	// MaxReplayBytes is how many bytes of one upload are buffered for another attempt.
	MaxReplayBytes = 1 << 20
	// replayMemoryDivisor is the part of the memory limit, one in so many bytes, that the buffers of all uploads may have.
	replayMemoryDivisor = 8
	// unlimitedReplayBytes is the budget of a process without a memory limit.
	unlimitedReplayBytes = math.MaxInt32
	// bytesPerMegabyte converts the memory limit of the configuration.
	bytesPerMegabyte = 1 << 20
)

// BufferBudget is the number of bytes that all uploads together may still buffer. It is safe for concurrent use.
type BufferBudget struct{ Remaining atomic.Int64 }

// ReplayBufferBytes returns the budget in bytes for a memory limit in megabytes; 0 or less: there is no limit.
func ReplayBufferBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return unlimitedReplayBytes
	}
	return int64(memoryMB * bytesPerMegabyte / replayMemoryDivisor)
}

// reserve takes n bytes from the budget and reports whether there were as many.
func (b *BufferBudget) reserve(n int) bool {
	if b.Remaining.Add(-int64(n)) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release returns n bytes to the budget.
func (b *BufferBudget) release(n int) { b.Remaining.Add(int64(n)) }

// buffer appends bytes for another attempt, or discards the buffer if a limit is reached. The caller holds mu.
func (u *Upload) buffer(p []byte) {
	if u.Discarded.Load() || len(p) == 0 {
		return
	}
	if len(u.buffered)+len(p) > MaxReplayBytes || !u.Budget.reserve(len(p)) {
		u.discardBuffer()
		return
	}
	u.buffered = append(u.buffered, p...)
	u.reserved += len(p)
}

// discardBuffer frees the buffer. The caller holds mu.
func (u *Upload) discardBuffer() {
	u.Discarded.Store(true)
	u.buffered = nil
	u.Budget.release(u.reserved)
	u.reserved = 0
}
