package memory

import (
	"sync"
	"testing"
	"time"
)

const large = 32 << 10

// TestBudgetIsNeverExceeded guards against reservations that together exceed the limit, and against bytes that stay reserved
// after all reservations have been released.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const limit = 10 * large
	b := NewBudget(limit)
	var running sync.WaitGroup
	for worker := range 50 {
		running.Go(func() {
			for i := range 100 {
				r := b.NewReservation()
				if r.GrowBy(Bodies, 1+(worker*i)%(2*large), time.Now().Add(10*time.Millisecond)) {
					r.Retain()
					r.Grow(Heads, i)
					r.Release()
				}
				b.mu.Lock()
				total := b.total
				b.mu.Unlock()
				if total > limit {
					t.Errorf("got %d bytes reserved, want at most %d", total, limit)
				}
				r.Release()
			}
		})
	}
	running.Wait()
	for _, usage := range b.Usage() {
		if usage.Reserved != 0 {
			t.Errorf("%v: got %d bytes reserved at the end, want 0", usage.Kind, usage.Reserved)
		}
	}
	if b.total != 0 || len(b.waiting) != 0 {
		t.Errorf("got %d bytes, %d waiters at the end, want none", b.total, len(b.waiting))
	}
}

// TestSmallReservationsAreGrantedBesideLargeOnes guards against small requests that wait because large ones use the budget.
func TestSmallReservationsAreGrantedBesideLargeOnes(t *testing.T) {
	b := NewBudget(10 * large)
	holder := b.NewReservation()
	for holder.Grow(Bodies, large) {
	}
	if !b.NewReservation().Grow(Attempts, large) {
		t.Error("a small reservation beside large ones: got it refused, want it granted")
	}
	granted := make(chan bool)
	go func() { granted <- b.NewReservation().GrowBy(Bodies, large, time.Now().Add(time.Minute)) }()
	holder.Release()
	if !<-granted {
		t.Error("a large reservation after a release: got it refused, want it granted")
	}
}

// TestReservationAfterReleaseIsReturned guards against bytes that are reserved for a request after it has ended.
func TestReservationAfterReleaseIsReturned(t *testing.T) {
	b := NewBudget(large)
	r := b.NewReservation()
	r.Release()
	r.Add(Responses, 5)
	if b.total != 0 {
		t.Errorf("got %d bytes reserved, want 0", b.total)
	}
}
