package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/sidecartest"
)

// unsizedReader hides the type of a reader, from which net/http would learn the length of the body.
type unsizedReader struct{ io.Reader }

// TestLongRequestBody checks that a long request body reaches the endpoint complete, in each framing, in one attempt.
func TestLongRequestBody(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"announced": strings.NewReader(sidecartest.LongBody), "in chunks": unsizedReader{strings.NewReader(sidecartest.LongBody)},
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "taken"))
			cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
			sidecar := startSidecar(t, withAdmin(cfg))
			request := sidecar.newRequest("pay")
			request.Body, request.ContentLength = io.NopCloser(body), -1
			if name == "announced" {
				request.ContentLength = int64(len(sidecartest.LongBody))
			}
			request.Header.Set("Expect", "100-continue")
			if resp, text := sidecar.do(request); resp.StatusCode != 200 || text != "taken" {
				t.Errorf("status %d, body %q", resp.StatusCode, text)
			}
			requests := server.Requests()
			if len(requests) != 1 || requests[0].BodyText != sidecartest.LongBody || requests[0].Header.Get("Expect") != "" {
				t.Errorf("the server received %d requests, want one with the complete body and no Expect", len(requests))
			}
			if got := sidecar.resultCounts("pay") + ", " + sidecar.metric("upstream_requests_total"); got != "1 0 0, 1" {
				t.Errorf("completed, rejected and failed requests and attempts are %s, want 1 0 0, 1", got)
			}
		})
	}
}

// startPartialReadServer starts a server that reads a number of bytes of each connection, writes the response and closes. It
// returns the address and a channel with a value for each connection.
func startPartialReadServer(t *testing.T, count int64, response string) (addr string, conns <-chan bool) {
	t.Helper()
	ln := sidecartest.Listen(t)
	accepted := make(chan bool, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- true
			io.CopyN(io.Discard, conn, count)
			io.WriteString(conn, response)
			conn.Close()
		}
	}()
	return ln.Addr().String(), accepted
}

// waitForConnsReader is a part of a body without bytes. It ends when a server has accepted a number of connections.
type waitForConnsReader struct {
	server *sidecartest.ScriptedServer
	count  int
}

func (w waitForConnsReader) Read([]byte) (int, error) {
	for end := time.Now().Add(sidecartest.Timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if w.server.ConnCount() >= w.count {
			return 0, io.EOF
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// TestRequestBodyReplay tests the failure in which an endpoint closes the connection before the last byte of a request's body. The
// request cannot have been executed, and must be retried with the buffered body. The client sends its last byte only when the
// retry has begun, as the kernel could otherwise take all of the body before the endpoint closes.
func TestRequestBodyReplay(t *testing.T) {
	partialReaderAddr, accepted := startPartialReadServer(t, 1000, "")
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "taken", "Connection: close"))
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", partialReaderAddr), sidecartest.ReadyEndpoint("s-2", server.Addr)))
	attempts := 0
	for len(accepted) == 0 { // the other endpoint may be chosen first
		attempts++
		request := sidecar.newRequest("pay")
		text := sidecartest.LongBody[:exchange.MaxReplayBytes/2]
		lastByte := len(text) - 1
		request.Body = io.NopCloser(io.MultiReader(
			strings.NewReader(text[:lastByte]), waitForConnsReader{server, attempts}, strings.NewReader(text[lastByte:]),
		))
		request.ContentLength = int64(len(text))
		if resp, _ := sidecar.do(request); resp.StatusCode != 200 {
			t.Fatalf("status %d, want 200", resp.StatusCode)
		}
	}
	requests := server.Requests()
	if len(requests) != attempts || requests[attempts-1].BodyText != sidecartest.LongBody[:exchange.MaxReplayBytes/2] {
		t.Errorf("%d of %d bodies reached the other endpoint, the last of them must be complete", len(requests), attempts)
	}
}

// TestUnbufferedBodyIsSentOnce tests the failure in which an endpoint closes the connection within a body above the limit of the
// replay buffer. Nobody has the beginning of the body any more. The request must have one attempt, and be rejected, as it was never
// executed.
func TestUnbufferedBodyIsSentOnce(t *testing.T) {
	text := strings.Repeat(sidecartest.LongBody, 12) // more than the socket buffers hold
	partialReaderAddr, accepted := startPartialReadServer(t, int64(len(sidecartest.LongBody)*3), "")
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", partialReaderAddr), sidecartest.ReadyEndpoint("s-2", partialReaderAddr)))
	conn := sidecar.dial()
	go io.WriteString(conn, sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(text)))+text)
	sidecar.expectResponse(conn, "request whose body is not buffered", http.StatusServiceUnavailable)
	if len(accepted) != 1 {
		t.Errorf("%d attempts, want 1", len(accepted))
	}
}

// TestTruncatedRequestBody tests the failure in which a client disconnects within the body of its request. An endpoint could take
// the part for the whole. The request must end, must not reach an endpoint as a complete one, and must not affect later ones.
func TestTruncatedRequestBody(t *testing.T) {
	sidecar, server := startWithEndpointAndAdmin(t, sidecartest.Respond(200, "taken"))
	conn := sidecar.dial()
	head := sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(sidecartest.LongBody)))
	sidecar.write(conn, head+sidecartest.LongBody[:len(sidecartest.LongBody)/2])
	sidecar.waitForPendingRequests(1)
	conn.Close()
	sidecar.waitForPendingRequests(0)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("%d requests reached the endpoint, want 0", got)
	}
	if resp, _ := sidecar.do(sidecar.newRequest("pay")); resp.StatusCode != 200 {
		t.Errorf("next request: status %d, want 200", resp.StatusCode)
	}
}

// TestSlowBodyKeepsDeadline checks that the deadline of a request counts from its last byte, so that a body which arrives
// slowly does not use it up.
func TestSlowBodyKeepsDeadline(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "taken"))
	conn := sidecar.dial()
	text := strings.Replace(sidecar.rawRequestHead("pay", "Content-Length: 4"), "15000m", "300m", 1)
	sidecar.write(conn, text+"ab")
	time.Sleep(350 * time.Millisecond) // longer than the deadline of the request
	sidecar.write(conn, "cd")
	sidecar.expectResponse(conn, "request with a slow body", http.StatusOK)
	if left, err := exchange.ParseExpiry(server.Requests()[0].Header.Get(exchange.ExpiryHeader), 1e6); err != nil || left < 200 {
		t.Errorf("forwarded with %v ms left, error %v", left, err)
	}
}

// TestRequestSmugglingBehindLongBody checks that a request with more data after its long body than announced is rejected
// and does not reach an endpoint as a complete request.
func TestRequestSmugglingBehindLongBody(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	conn := sidecar.dial()
	long := strings.Repeat("x", 4*http1.MaxBufferedBody)
	sidecar.write(conn, sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(long)))+long[10:])
	sidecar.write(conn, long[:10]+sidecar.rawRequestHead("read"))
	got, err := io.ReadAll(conn)
	if !strings.HasPrefix(string(got), "HTTP/1.1 400") {
		t.Errorf("response %q, error %v, want status 400", got, err)
	}
	if got := server.Requests(); len(got) != 0 {
		t.Errorf("%d requests reached the endpoint, want 0", len(got))
	}
}
