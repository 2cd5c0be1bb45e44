package memory

import (
	"slices"
	"sync"
	"time"
)

// Kind is what reserved bytes are for.
type Kind int

// The kinds of reserved bytes.
const (
	Connections Kind = iota // buffers and goroutines of connections
	Heads                   // long heads of requests
	Bodies                  // bodies of requests
	Attempts                // goroutines and buffers of requests that are being sent
	Uploads                 // the same for requests with long bodies
	Responses               // bodies of responses, and buffers of streamed ones
	kindCount
)

// String returns the name of a kind in metrics.
func (k Kind) String() string {
	return [...]string{"connections", "heads", "bodies", "attempts", "uploads", "responses"}[k]
}

// headroomDivisor is the inverse of the fraction of the limit that only connections and attempts may use, so that small
// requests are served while large ones use up the rest.
const headroomDivisor = 4

// usesHeadroom reports whether bytes of a kind may be reserved from the headroom.
func (k Kind) usesHeadroom() bool { return k == Connections || k == Attempts }

// Budget limits the sum of all reserved bytes.
type Budget struct {
	mu      sync.Mutex
	limit   int64
	total   int64
	kinds   [kindCount]Usage
	waiting []*waiter // oldest first
	reclaim func() bool
}

// Usage describes the reservations of one kind.
type Usage struct {
	Kind     Kind
	Reserved int64 // bytes reserved now
	Waited   int64 // reservations that had to wait
	Refused  int64 // reservations that were not granted
}

// waiter is a reservation that waits until enough bytes have been released.
type waiter struct {
	kind    Kind
	bytes   int64
	granted chan struct{} // closed when the bytes are reserved
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit}
	for kind := range b.kinds {
		b.kinds[kind].Kind = Kind(kind)
	}
	return b
}

// SetLimit changes the limit. Bytes over a lower limit stay reserved until they are released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grantWaiting()
}

// SetReclaim sets a function that frees memory which is kept only to save time, such as an idle connection. It reports whether
// it has released any. It is called without locks, when a reservation does not fit. It must be set before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) { b.reclaim = reclaim }

// Usage returns the usage of each kind.
func (b *Budget) Usage() []Usage {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.kinds[:])
}

// fits reports whether more bytes can be reserved now. The caller holds mu.
func (b *Budget) fits(kind Kind, bytes int64) bool {
	limit := b.limit
	if !kind.usesHeadroom() {
		limit -= b.limit / headroomDivisor
	}
	return b.total+bytes <= limit
}

// add reserves bytes, also over the limit. The caller holds mu.
func (b *Budget) add(kind Kind, bytes int64) {
	b.total += bytes
	b.kinds[kind].Reserved += bytes
}

// addAlways reserves bytes, also over the limit.
func (b *Budget) addAlways(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(kind, bytes)
}

// tryAdd reserves bytes if they fit, and otherwise reclaims memory and tries again.
func (b *Budget) tryAdd(kind Kind, bytes int64) bool {
	for {
		b.mu.Lock()
		fits := b.fits(kind, bytes)
		granted := fits && !b.overtakes(kind)
		if granted {
			b.add(kind, bytes)
		}
		b.mu.Unlock()
		if fits || b.reclaim == nil || !b.reclaim() {
			return granted
		}
	}
}

// overtakes reports whether a reservation would be granted before an older one that waits for the same share of the limit.
// The caller holds mu.
func (b *Budget) overtakes(kind Kind) bool {
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return w.kind.usesHeadroom() == kind.usesHeadroom() })
}

// addBy reserves bytes, and waits until the deadline if they do not fit.
func (b *Budget) addBy(kind Kind, bytes int64, deadline time.Time) bool {
	if b.tryAdd(kind, bytes) {
		return true
	}
	w := b.startWaiting(kind, bytes)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
		return !b.stopWaiting(w)
	}
}

// startWaiting adds a waiter, which is granted at once if its bytes fit by now.
func (b *Budget) startWaiting(kind Kind, bytes int64) *waiter {
	w := &waiter{kind: kind, bytes: bytes, granted: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds[kind].Waited++
	b.waiting = append(b.waiting, w)
	b.grantWaiting()
	return w
}

// stopWaiting removes a waiter. It returns false if its bytes have been reserved in the meantime.
func (b *Budget) stopWaiting(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.Index(b.waiting, w)
	if index < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, index, index+1)
	b.kinds[w.kind].Refused++
	b.grantWaiting()
	return true
}

// release returns reserved bytes.
func (b *Budget) release(kind Kind, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(kind, -bytes)
	b.grantWaiting()
}

// countRefusal counts a reservation that was not granted.
func (b *Budget) countRefusal(kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kinds[kind].Refused++
}

// grantWaiting grants the oldest waiters as long as their bytes fit. Those that may use the headroom do not wait for the
// others. The caller holds mu.
func (b *Budget) grantWaiting() {
	var headroomBlocked, othersBlocked bool
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		blocked := &othersBlocked
		if w.kind.usesHeadroom() {
			blocked = &headroomBlocked
		}
		if *blocked || !b.fits(w.kind, w.bytes) {
			*blocked = true
			return false
		}
		b.add(w.kind, w.bytes)
		close(w.granted)
		return true
	})
}
