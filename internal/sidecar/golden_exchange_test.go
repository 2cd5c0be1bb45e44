package sidecar

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"cindersaddle/internal/sidecartest"
)

// startGoldenSidecar starts a sidecar with one endpoint, a recording server that runs steps.
func startGoldenSidecar(t *testing.T, steps ...sidecartest.Step) (*testSidecar, *recordingServers) {
	t.Helper()
	servers := newRecordingServers(steps...)
	return startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", servers.startServer(t)))), servers
}

// goldenRequestHead returns the head of a request that is the same in each run, with additional header lines.
func goldenRequestHead(class, traceID string, lines ...string) string {
	method := "POST"
	if class == "read" {
		method = "GET"
	}
	head := []string{
		method + " /api HTTP/1.1", "Host: app.svc", "X-Trace-Id: " + traceID, "X-Qos: " + class,
		"X-Customer: acme", "X-Expires-In: 15000m",
	}
	if class == "reserve" {
		head = append(head, "Idempotency-Key: 5c0f6e1a")
	}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n\r\n"
}

// roundTrip writes a request to a connection and returns the response.
func roundTrip(t *testing.T, conn net.Conn, request string) string {
	t.Helper()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, conn)
}

// readResponse reads a response. If the response announces a close, it reads to the end of the connection.
func readResponse(t *testing.T, conn net.Conn) string {
	t.Helper()
	text, err := readUntil(conn, isCompleteMessage)
	if err != nil && err != io.EOF {
		t.Fatal(err)
	}
	if !strings.Contains(text, "\r\nConnection: close\r\n") {
		return text
	}
	rest, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return text + string(rest)
}

// recordExchange returns a scenario that records a request as the server receives it, once for each step, and the
// response as the client receives it.
func recordExchange(request string, steps ...sidecartest.Step) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		sidecar, server := startGoldenSidecar(t, steps...)
		response := roundTrip(t, sidecar.dial(), request)
		for range steps {
			transcript.addMessage("the server reads", sidecartest.Next(t, server.requests).text)
		}
		transcript.addMessage("the client reads", response)
	}
}

// recordLongExchange returns a scenario that records a request with a long body as the server receives it, and its
// response.
func recordLongExchange(request string) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		sidecar, server := startGoldenSidecar(t, sidecartest.Respond(200, "kept"))
		response := roundTrip(t, sidecar.dial(), request)
		transcript.addMessageWithLongBody(t, "the server reads", sidecartest.Next(t, server.requests).text)
		transcript.addMessage("the client reads", response)
	}
}

// recordRejectedRequest returns a scenario that records the response to a request that must not reach an endpoint.
func recordRejectedRequest(request string) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		sidecar, server := startGoldenSidecar(t)
		transcript.addMessage("the client reads", roundTrip(t, sidecar.dial(), request))
		if got := len(server.requests); got != 0 {
			t.Errorf("got %d requests at the endpoint, want 0", got)
		}
	}
}

// recordResponseWithoutEndpoints returns a scenario that records the response of a sidecar that knows no endpoints. A
// request without remaining time needs this, because an attempt could begin if there were an endpoint.
func recordResponseWithoutEndpoints(request string) func(*testing.T, *goldenTranscript) {
	return func(t *testing.T, transcript *goldenTranscript) {
		sidecar := startSidecar(t, sidecartest.Config(t))
		transcript.addMessage("the client reads", roundTrip(t, sidecar.dial(), request))
	}
}

// goldenLongBody is longer than the bodies that a sidecar buffers as a whole, so it is streamed.
var goldenLongBody = strings.Repeat("0123456789abcdef", 6<<10)

// chunkedBody returns a chunked body with one chunk for each part.
func chunkedBody(parts ...string) string {
	var out strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
	}
	return out.String() + "0\r\n\r\n"
}

// Parts of server responses.
const (
	okStatusLine        = "HTTP/1.1 200 OK\r\n"
	neverExecutedHeader = "X-Never-Ran: 1"
)
