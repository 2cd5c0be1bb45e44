package memory

import (
	"sync"
	"time"
)

// Reservation is what one connection or one request has reserved. It is released when all of its holders have called Release;
// what is reserved after that is released at once. A nil Reservation grants everything.
type Reservation struct {
	budget *Budget

	mu       sync.Mutex
	holders  int
	reserved [kindCount]int64
}

// NewReservation returns an empty reservation with one holder. It returns nil for a nil budget.
func (b *Budget) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, holders: 1}
}

// Retain adds a holder.
func (r *Reservation) Retain() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
}

// Release removes a holder. After the last one it returns all bytes to the budget.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders--
	r.releaseIfUnused()
}

// releaseIfUnused returns all bytes to the budget if there is no holder. The caller holds mu.
func (r *Reservation) releaseIfUnused() {
	if r.holders > 0 {
		return
	}
	for kind, bytes := range r.reserved {
		r.budget.release(Kind(kind), bytes)
	}
	r.reserved = [kindCount]int64{}
}

// Add reserves bytes, also over the limit, for what cannot be refused any more.
func (r *Reservation) Add(kind Kind, bytes int) {
	if r == nil {
		return
	}
	r.budget.addAlways(kind, int64(bytes))
	r.record(kind, int64(bytes))
}

// Grow reserves more bytes if they fit, and reports whether they do.
func (r *Reservation) Grow(kind Kind, bytes int) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	if !r.budget.tryAdd(kind, int64(bytes)) {
		r.budget.countRefusal(kind)
		return false
	}
	r.record(kind, int64(bytes))
	return true
}

// GrowBy reserves more bytes, and waits until the deadline if they do not fit. It reports whether they were reserved.
func (r *Reservation) GrowBy(kind Kind, bytes int, deadline time.Time) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	if !r.budget.addBy(kind, int64(bytes), deadline) {
		return false
	}
	r.record(kind, int64(bytes))
	return true
}

// record adds bytes that the budget has granted.
func (r *Reservation) record(kind Kind, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved[kind] += bytes
	r.releaseIfUnused()
}

// ShrinkTo releases the bytes of one kind over the given number.
func (r *Reservation) ShrinkTo(kind Kind, bytes int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if excess := r.reserved[kind] - int64(bytes); excess > 0 {
		r.reserved[kind] -= excess
		r.budget.release(kind, excess)
	}
}

// Reserved returns the bytes that are reserved for one kind.
func (r *Reservation) Reserved(kind Kind) int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.reserved[kind])
}
