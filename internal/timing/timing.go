// Package timing provides interruptible sleeps for the other packages. It has no state and starts no goroutines.
package timing

import (
	"context"
	"time"
)

// Sleep blocks until d has passed or ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
