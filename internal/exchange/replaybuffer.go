package exchange

import (
	"math"
	"sync/atomic"
)

const (
	// MaxReplayBytes is the maximum number of bytes of one upload that are buffered for another attempt.
	MaxReplayBytes = 1 << 20
	// replayMemoryDivisor is the inverse of the fraction of the memory limit that all upload buffers together may use.
	replayMemoryDivisor = 8
	// unlimitedReplayBytes is the budget in bytes if there is no memory limit.
	unlimitedReplayBytes = math.MaxInt32
	// bytesPerMegabyte converts the memory limit, which is configured in megabytes.
	bytesPerMegabyte = 1 << 20
)

// ReplayBudget limits the bytes that all uploads together may buffer. It is safe for concurrent use.
type ReplayBudget struct {
	Remaining atomic.Int64 // bytes that may still be buffered
}

// ReplayBudgetBytes returns the budget in bytes for a memory limit in megabytes. A limit of 0 or less means no limit.
func ReplayBudgetBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return unlimitedReplayBytes
	}
	return int64(memoryMB * bytesPerMegabyte / replayMemoryDivisor)
}

// reserve takes n bytes from the budget. It returns false, and takes nothing, if fewer remain.
func (b *ReplayBudget) reserve(n int) bool {
	if b.Remaining.Add(-int64(n)) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release returns n bytes to the budget.
func (b *ReplayBudget) release(n int) { b.Remaining.Add(int64(n)) }

// bufferForReplay buffers p for another attempt, or discards the buffer if a limit would be exceeded. The caller holds mu.
func (u *Upload) bufferForReplay(p []byte) {
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

// discardBuffer frees the buffer and returns its bytes to the budget. The caller holds mu.
func (u *Upload) discardBuffer() {
	u.Discarded.Store(true)
	u.buffered = nil
	u.Budget.release(u.reserved)
	u.reserved = 0
}
