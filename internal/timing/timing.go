// Package timing has the pauses that the other packages share. It has no state and starts no
// goroutine.
package timing

import (
	"context"
	"time"
)

// Sleep blocks for d, or until ctx is done if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
