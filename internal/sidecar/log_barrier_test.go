package sidecar

import (
	"context"
	"log/slog"
)

// logBarrier is a log handler that blocks each goroutine that logs blockedMessage, until release is closed.
type logBarrier struct {
	slog.Handler
	blockedMessage string
	reached        chan bool // receives a value for each time that the message is logged
	release        chan bool // closed by the test
}

// barrierBacklog is more than the number of times that a message is logged before and after the release.
const barrierBacklog = 100

// newLogBarrier returns a barrier for a message. Its channel reached has a buffer of barrierBacklog: the sidecar may
// log the message while the test waits for something else, and without the buffer they would wait for each other
// forever.
func newLogBarrier(message string) logBarrier {
	return logBarrier{slog.DiscardHandler, message, make(chan bool, barrierBacklog), make(chan bool)}
}

// Enabled returns true for every level, so that the barrier sees all messages.
func (barrier logBarrier) Enabled(context.Context, slog.Level) bool { return true }

// Handle signals that the message was logged, and blocks until release is closed.
func (barrier logBarrier) Handle(_ context.Context, r slog.Record) error {
	if r.Message == barrier.blockedMessage {
		barrier.reached <- true
		<-barrier.release
	}
	return nil
}
