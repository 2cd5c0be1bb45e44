package exchange

import (
	"math"
	"sync/atomic"

	"cindersaddle/internal/memory"
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
	// replayPieceBytes is the size of the pieces in which a buffer grows.
	replayPieceBytes = 16 << 10
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

// replayBuffer holds the beginning of a body in pieces, so that it grows without being copied.
type replayBuffer struct {
	first  []byte   // the part that was read before the first attempt
	pieces [][]byte // the bytes after it, in pieces of replayPieceBytes; the last one may be shorter
	length int
}

// append adds bytes. For each new piece it calls reserve, and returns false if that does.
func (b *replayBuffer) append(p []byte, reserve func(bytes int) bool) bool {
	for len(p) > 0 {
		last := len(b.pieces) - 1
		if last < 0 || len(b.pieces[last]) == replayPieceBytes {
			if !reserve(replayPieceBytes) {
				return false
			}
			b.pieces = append(b.pieces, make([]byte, 0, replayPieceBytes))
			last++
		}
		n := min(len(p), replayPieceBytes-len(b.pieces[last]))
		b.pieces[last] = append(b.pieces[last], p[:n]...)
		b.length += n
		p = p[n:]
	}
	return true
}

// copyFrom copies bytes from an offset, which must be less than the length, and returns their number.
func (b *replayBuffer) copyFrom(p []byte, offset int64) int {
	if offset < int64(len(b.first)) {
		return copy(p, b.first[offset:])
	}
	offset -= int64(len(b.first))
	return copy(p, b.pieces[offset/replayPieceBytes][offset%replayPieceBytes:])
}

// bufferForReplay buffers p for another attempt, or discards the buffer if a limit would be exceeded. The caller holds mu.
func (u *Upload) bufferForReplay(p []byte) {
	if u.Discarded.Load() || len(p) == 0 {
		return
	}
	if u.buffered.length+len(p) > MaxReplayBytes || !u.buffered.append(p, u.reservePiece) {
		u.discardBuffer()
	}
}

// reservePiece reserves a piece of the buffer. The caller holds mu.
func (u *Upload) reservePiece(bytes int) bool {
	if !u.Budget.reserve(bytes) {
		return false
	}
	u.reserved += bytes
	return u.Memory.Grow(memory.Bodies, bytes)
}

// discardBuffer frees the buffer and returns its bytes to the budgets. The caller holds mu.
func (u *Upload) discardBuffer() {
	u.Discarded.Store(true)
	u.buffered = replayBuffer{}
	u.Budget.release(u.reserved)
	u.reserved = 0
	u.Memory.ShrinkTo(memory.Bodies, 0)
}
