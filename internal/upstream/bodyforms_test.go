package upstream

import (
	"bytes"
	"net"
	"testing"

	"cindersaddle/internal/http1"
	"cindersaddle/internal/sidecartest"
)

// bufferedBodyBytes is the length of the longest body that is not streamed.
const bufferedBodyBytes = http1.MaxBufferedBody

// newSlowServer starts a server that reads slowly and never responds.
func newSlowServer(t *testing.T) *sidecartest.SlowServer {
	t.Helper()
	return sidecartest.NewSlowServer(t, sidecartest.NoResponse)
}

// expectIncomplete waits for the end of the connection and checks that no complete request was received.
func expectIncomplete(t *testing.T, server *sidecartest.SlowServer) {
	t.Helper()
	sidecartest.Next(t, server.Done)
	if got := server.CompleteRequests(); got != 0 {
		t.Errorf("the server received %d complete requests, want 0", got)
	}
}

// newBufferedAttempt returns an attempt with the longest body that is not streamed.
func newBufferedAttempt(endpoint *Endpoint) *Attempt {
	attempt := newAttempt(endpoint, sidecartest.Timeout)
	attempt.Message.Body = bytes.Repeat([]byte{'a'}, bufferedBodyBytes)
	return attempt
}

// newStreamedAttempt returns an attempt with a streamed request body.
func newStreamedAttempt(t *testing.T, client *Client, endpoint *Endpoint) *Attempt {
	return newUploadAttempt(t, client, endpoint, func(tcp *net.TCPConn) net.Conn { return tcp }, func() error { return nil })
}

// forEachBodyForm runs a subtest for each form in which a request body is sent. newAttempt returns an attempt with such a body.
func forEachBodyForm(t *testing.T, test func(t *testing.T, client *Client, newAttempt func(address string) *Attempt)) {
	for name, create := range map[string]func(t *testing.T, client *Client, endpoint *Endpoint) *Attempt{
		"buffered": func(_ *testing.T, _ *Client, endpoint *Endpoint) *Attempt { return newBufferedAttempt(endpoint) },
		"streamed": newStreamedAttempt,
		"streamed in chunks": func(t *testing.T, client *Client, endpoint *Endpoint) *Attempt {
			attempt := newStreamedAttempt(t, client, endpoint)
			attempt.Message.Upload.Length = -1
			return attempt
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, testMaxConns)
			test(t, client, func(address string) *Attempt { return create(t, client, newEndpoint(address)) })
		})
	}
}
