package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/sidecartest"
)

// unsizedReader hides the type of a reader, so that net/http cannot derive the length of the body from it.
type unsizedReader struct{ io.Reader }

// TestLongRequestBody checks for each kind of framing that a long request body reaches the endpoint complete and in one
// attempt.
func TestLongRequestBody(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"announced": strings.NewReader(sidecartest.LongBody),
		"in chunks": unsizedReader{strings.NewReader(sidecartest.LongBody)},
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
				t.Errorf("got status %d, body %q, want 200, \"taken\"", resp.StatusCode, text)
			}
			requests := server.Requests()
			if len(requests) != 1 || requests[0].BodyText != sidecartest.LongBody || requests[0].Header.Get("Expect") != "" {
				t.Errorf("got %d requests at the server, want 1 with the complete body and without Expect", len(requests))
			}
			got := sidecar.resultCounts("pay") + ", " + sidecar.metric("upstream_requests_total")
			if got != "1 0 0, 1" {
				t.Errorf("got completed, rejected and failed requests, and attempts %s, want 1 0 0, 1", got)
			}
		})
	}
}

// startPartialReadServer starts a server that reads count bytes of each connection, writes response and closes the
// connection. It returns its address and a channel that receives a value for each connection.
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

// waitForConnsReader is an empty part of a body. It ends when the server has accepted count connections, so that the
// parts after it are read only then.
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

// TestRequestBodyReplay guards against the failure of a request whose endpoint closes the connection before the last
// byte of the body. The request cannot have been executed, and must be retried with the buffered body. The client sends
// the last byte only when the retry has begun, because otherwise the kernel could accept the whole body before the
// endpoint closes the connection.
func TestRequestBodyReplay(t *testing.T) {
	partialReaderAddr, accepted := startPartialReadServer(t, 1000, "")
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "taken", "Connection: close"))
	sidecar := startSidecar(t, sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", partialReaderAddr), sidecartest.ReadyEndpoint("s-2", server.Addr)))
	text := sidecartest.LongBody[:exchange.MaxReplayBytes/2]
	requestCount := 0
	for len(accepted) == 0 { // until the partial reader was chosen; the other endpoint may be chosen first
		requestCount++
		request := sidecar.newRequest("pay")
		lastByte := len(text) - 1
		request.Body = io.NopCloser(io.MultiReader(
			strings.NewReader(text[:lastByte]), waitForConnsReader{server, requestCount}, strings.NewReader(text[lastByte:]),
		))
		request.ContentLength = int64(len(text))
		if resp, _ := sidecar.do(request); resp.StatusCode != 200 {
			t.Fatalf("got status %d, want 200", resp.StatusCode)
		}
	}
	requests := server.Requests()
	if len(requests) != requestCount || requests[requestCount-1].BodyText != text {
		t.Errorf("got %d requests at the other endpoint, want %d, the last one with the complete body",
			len(requests), requestCount)
	}
}

// TestUnbufferedBodyIsSentOnce guards against a retry without the beginning of the body. An endpoint closes the
// connection within a body that exceeds the replay buffer, so the beginning is no longer available. The request must
// have only one attempt, and must be rejected because it was never executed.
func TestUnbufferedBodyIsSentOnce(t *testing.T) {
	text := strings.Repeat(sidecartest.LongBody, 12) // longer than the socket buffers can hold
	partialReaderAddr, accepted := startPartialReadServer(t, int64(len(sidecartest.LongBody)*3), "")
	sidecar := startSidecar(t, sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", partialReaderAddr), sidecartest.ReadyEndpoint("s-2", partialReaderAddr)))
	conn := sidecar.dial()
	go io.WriteString(conn, sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(text)))+text)
	sidecar.expectResponse(conn, "request whose body is not buffered", http.StatusServiceUnavailable)
	if len(accepted) != 1 {
		t.Errorf("got %d attempts, want 1", len(accepted))
	}
}

// TestLongOrderIsNotExecutedAfterDedupWindow guards against the second execution of an order with a long body: the endpoint
// that gets the retry reads it so slowly that its last byte would arrive after the dedup window. The order must fail.
func TestLongOrderIsNotExecutedAfterDedupWindow(t *testing.T) {
	const bodyLength = 768 << 10 // takes a slow endpoint about 5 s
	endpoints := make([]*sidecartest.SlowServer, 2)
	resetAndBecomeSlow := func(conn net.Conn) bool {
		for _, endpoint := range endpoints {
			endpoint.Fast.Store(false)
		}
		return sidecartest.Reset(conn)
	}
	for i := range endpoints {
		endpoints[i] = sidecartest.NewSlowServer(t, resetAndBecomeSlow)
		endpoints[i].Fast.Store(true)
	}
	cfg := sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", endpoints[0].Addr), sidecartest.ReadyEndpoint("s-2", endpoints[1].Addr))
	cfg.Balance.Classes[cfg.ClassIndex["reserve"]].DedupWindow = 2000
	sidecar := startSidecar(t, cfg)
	request := sidecar.newRequest("reserve")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", bodyLength)))
	request.ContentLength = bodyLength
	if resp, _ := sidecar.do(request); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", resp.StatusCode)
	}
	for _, endpoint := range endpoints { // one has executed the order, the other has received a part of the retry
		sidecartest.Next(t, endpoint.Done)
	}
	if got := endpoints[0].CompleteRequests() + endpoints[1].CompleteRequests(); got != 1 {
		t.Errorf("the endpoints received %d complete orders, want 1", got)
	}
}

// TestTruncatedRequestBody guards against an endpoint that takes a part of a body for the whole, after the client
// disconnected within the body. The request must end, must not reach an endpoint as a complete request, and must not
// affect later requests.
func TestTruncatedRequestBody(t *testing.T) {
	sidecar, server := startWithEndpointAndAdmin(t, sidecartest.Respond(200, "taken"))
	conn := sidecar.dial()
	head := sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(sidecartest.LongBody)))
	sidecar.write(conn, head+sidecartest.LongBody[:len(sidecartest.LongBody)/2])
	sidecar.waitForPendingRequests(1)
	conn.Close()
	sidecar.waitForPendingRequests(0)
	if got := len(server.Requests()); got != 0 {
		t.Errorf("got %d requests at the endpoint, want 0", got)
	}
	if resp, _ := sidecar.do(sidecar.newRequest("pay")); resp.StatusCode != 200 {
		t.Errorf("next request: got status %d, want 200", resp.StatusCode)
	}
}

// TestSlowBodyKeepsDeadline checks that the deadline of a request counts from its last byte, so that a slow body does
// not use it up.
func TestSlowBodyKeepsDeadline(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "taken"))
	conn := sidecar.dial()
	text := strings.Replace(sidecar.rawRequestHead("pay", "Content-Length: 4"), "15000m", "300m", 1)
	sidecar.write(conn, text+"ab")
	time.Sleep(350 * time.Millisecond) // longer than the deadline of the request
	sidecar.write(conn, "cd")
	sidecar.expectResponse(conn, "request with a slow body", http.StatusOK)
	left, err := exchange.ParseExpiry(server.Requests()[0].Header.Get(exchange.ExpiryHeader), 1e6)
	if err != nil || left < 200 {
		t.Errorf("got a request forwarded with %v ms left, error %v, want at least 200 ms", left, err)
	}
}

// TestRequestSmugglingBehindLongBody checks that a request followed by more data than announced is rejected if its body
// is long, too, and does not reach an endpoint as a complete request.
func TestRequestSmugglingBehindLongBody(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	conn := sidecar.dial()
	long := strings.Repeat("x", 4*http1.MaxBufferedBody)
	sidecar.write(conn, sidecar.rawRequestHead("pay", fmt.Sprintf("Content-Length: %d", len(long)))+long[10:])
	sidecar.write(conn, long[:10]+sidecar.rawRequestHead("read"))
	got, err := io.ReadAll(conn)
	if !strings.HasPrefix(string(got), "HTTP/1.1 400") {
		t.Errorf("got response %q, error %v, want status 400", got, err)
	}
	if got := server.Requests(); len(got) != 0 {
		t.Errorf("got %d requests at the endpoint, want 0", len(got))
	}
}
