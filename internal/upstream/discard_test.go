package upstream

import (
	"testing"
	"time"
)

// TestGivenUpRequestIsNotDelivered guards against the execution of a request that was given up: the attempt is cancelled just
// after the kernel has accepted the last byte. Most bytes are still in the send queue, and the kernel would deliver them after
// the connection is closed. The endpoint could then execute the request after a retry, or after the client has disconnected.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	forEachBodyForm(t, func(t *testing.T, client *Client, newAttempt func(address string) *Attempt) {
		server := newSlowServer(t)
		attempt := newAttempt(server.Addr)
		go func() {
			for !attempt.requestWritten.Load() {
				time.Sleep(time.Millisecond)
			}
			attempt.Cancel()
		}()
		client.Do(attempt)
		expectIncomplete(t, server)
	})
}
