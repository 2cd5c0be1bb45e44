package logging

import (
	"sync"
	"time"
)

// Limiter limits how often something is logged, to one line per interval. It is safe for concurrent use.
type Limiter struct {
	interval time.Duration

	mu            sync.Mutex
	lastAllowedAt time.Time // zero: never
	suppressed    int64     // lines that were not logged since lastAllowedAt
}

// NewLimiter returns a limiter that allows one line per interval.
func NewLimiter(interval time.Duration) *Limiter { return &Limiter{interval: interval} }

// Allow reports whether a line may be logged now, and how many were not logged since the last one. If so, the next interval
// starts.
func (l *Limiter) Allow() (suppressed int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastAllowedAt.IsZero() && time.Since(l.lastAllowedAt) < l.interval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.lastAllowedAt, l.suppressed = time.Now(), 0
	return suppressed, true
}
