package sidecar

import (
	"context"
	"log/slog"
)

// logBarrier is a log handler that blocks the goroutine which logs a certain message until it is released.
type logBarrier struct {
	slog.Handler
	message          string
	reached, release chan bool
}

// maxBarrierMessages is more than the times that a message is logged before and after the release.
const maxBarrierMessages = 100

// newLogBarrier returns a barrier for a message. It announces the message without waiting for the test: the sidecar may log it
// by itself while the test waits for something else, and both would wait for ever.
func newLogBarrier(message string) logBarrier {
	return logBarrier{slog.DiscardHandler, message, make(chan bool, maxBarrierMessages), make(chan bool)}
}

// Enabled reports true for all levels, so that the message is not missed.
func (barrier logBarrier) Enabled(context.Context, slog.Level) bool { return true }

// Handle announces the message and blocks until the barrier is released.
func (barrier logBarrier) Handle(_ context.Context, r slog.Record) error {
	if r.Message == barrier.message {
		barrier.reached <- true
		<-barrier.release
	}
	return nil
}
