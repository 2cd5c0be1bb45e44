package exchange

import (
	"sync"
	"time"

	"cindersaddle/balance"
)

// ResponseTime estimates how long requests of a class take from their arrival to their response. It is safe for concurrent use.
type ResponseTime struct {
	mu       sync.Mutex
	estimate balance.DurationEstimate
}

// Record adds the time that a request took.
func (r *ResponseTime) Record(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.estimate.Record(balance.MillisecondsOf(duration))
}

// Usual returns a time that most requests do not exceed, or 0 if none is known.
func (r *ResponseTime) Usual() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.estimate.Usual().Duration()
}
