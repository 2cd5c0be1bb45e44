package upstream

import (
	"testing"
	"time"
)

// TestGivenUpRequestIsNotDelivered guards against the execution of a request that was given up: its bytes are still in the
// send queue when the attempt is cancelled, and the kernel would deliver them after the connection is closed. The endpoint
// could then execute it after a retry, or after the client has disconnected.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	const (
		untilBuffered = 30 * time.Millisecond  // the kernel has accepted a buffered body, the server has read a part of it
		untilStreamed = 150 * time.Millisecond // the same for a streamed body, which is longer
	)
	forEachBodyForm(t, func(t *testing.T, client *Client, newAttempt func(address string) *Attempt) {
		server := newSlowServer(t)
		attempt := newAttempt(server.Addr)
		cancelAfter := untilBuffered
		if attempt.Message.Upload != nil {
			cancelAfter = untilStreamed
		}
		time.AfterFunc(cancelAfter, attempt.Cancel)
		client.Do(attempt)
		expectIncomplete(t, server)
	})
}
