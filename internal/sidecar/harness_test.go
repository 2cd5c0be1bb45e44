package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/sidecartest"
)

// testSidecar is a running sidecar under test with a client of it and the discovery service that it uses.
type testSidecar struct {
	t         *testing.T
	addr      string
	adminAddr string // empty without an admin listener
	discovery *sidecartest.DiscoveryServer
	client    *http.Client
	reloads   chan os.Signal     // each signal reloads the configuration, as SIGHUP does
	shutdown  context.CancelFunc // starts the shutdown, as SIGTERM does
	exitError chan error         // receives the error with which the sidecar ended
}

// newTestSidecar returns a sidecar that is not started, with its discovery service and its client.
func newTestSidecar(t *testing.T) *testSidecar {
	t.Helper()
	return &testSidecar{
		t:         t,
		discovery: sidecartest.NewDiscoveryServer(t),
		client:    &http.Client{Transport: &http.Transport{}, Timeout: sidecartest.Timeout},
	}
}

// startSidecar starts a sidecar without a log; it is shut down at the end of the test.
func startSidecar(t *testing.T, cfg *config.Config) *testSidecar {
	t.Helper()
	return startSidecarWith(t, cfg, slog.DiscardHandler, readHooks{})
}

// startWithEndpoint starts a sidecar with one endpoint, whose server runs steps.
func startWithEndpoint(t *testing.T, steps ...sidecartest.Step) (*testSidecar, *sidecartest.ScriptedServer) {
	t.Helper()
	server := sidecartest.NewScriptedServer(t, steps...)
	return startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))), server
}

// startWithEndpointAndAdmin starts a sidecar with an admin address and one endpoint, whose server runs steps.
func startWithEndpointAndAdmin(t *testing.T, steps ...sidecartest.Step) (*testSidecar, *sidecartest.ScriptedServer) {
	t.Helper()
	server := sidecartest.NewScriptedServer(t, steps...)
	return startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))), server
}

// startSidecarWith starts a sidecar that logs to a handler and runs hooks around its reads. It is shut down at the end of the
// test, which fails if the shutdown does.
func startSidecarWith(t *testing.T, cfg *config.Config, log slog.Handler, hooks readHooks) *testSidecar {
	t.Helper()
	sidecar := newTestSidecar(t)
	sidecar.exitError = make(chan error, 1)
	sidecar.reloads = make(chan os.Signal, 1)
	cfg.Discovery = sidecar.discovery.Addr
	ln := sidecartest.Listen(t)
	sidecar.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	sidecar.shutdown = cancel
	env := startupResources{clientListener: ln, adminListener: sidecar.listenAdmin(cfg), readHooks: hooks}
	go func() { sidecar.exitError <- serve(ctx, cfg, env, sidecar.reloads, slog.New(log)) }()
	t.Cleanup(sidecar.stopAndWait)
	return sidecar
}

// end shuts the sidecar down, and fails the test if that fails or takes too long.
func (sidecar *testSidecar) stopAndWait() {
	sidecar.client.CloseIdleConnections()
	sidecar.shutdown()
	select {
	case err := <-sidecar.exitError:
		if err != nil {
			sidecar.t.Errorf("the sidecar ended with an error: %v", err)
		}
	case <-time.After(sidecartest.Timeout):
		sidecar.t.Error("the sidecar did not end in time")
	}
}

// listenAdmin listens at an admin address if the configuration names one.
func (sidecar *testSidecar) listenAdmin(cfg *config.Config) net.Listener {
	if cfg.AdminListen == "" {
		return nil
	}
	ln := sidecartest.Listen(sidecar.t)
	sidecar.adminAddr = ln.Addr().String()
	return ln
}

// withAdmin enables the admin listener.
func withAdmin(cfg *config.Config) *config.Config {
	cfg.AdminListen = "127.0.0.1:0"
	return cfg
}

// lastTraceID makes the trace IDs of all requests in the tests different.
var lastTraceID atomic.Int64

// newRequest makes a valid request of a class: a GET for read, otherwise a POST.
func (sidecar *testSidecar) newRequest(class string) *http.Request {
	method := http.MethodPost
	var body io.Reader = strings.NewReader("order 7")
	if class == "read" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequest(method, "http://"+sidecar.addr+"/api?item=a%2Fb", body)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	request.Header = http.Header{
		"X-Trace-Id": {fmt.Sprintf("%016x", lastTraceID.Add(1))}, "X-Qos": {class}, "X-Customer": {"acme"}, "X-Expires-In": {"15000m"},
	}
	if class == "reserve" {
		request.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return request
}

// newRequestForClass makes a request with the method and headers of a class and the name of another one.
func (sidecar *testSidecar) newRequestForClass(class, name string) *http.Request {
	request := sidecar.newRequest(class)
	request.Header.Set("X-Qos", name)
	return request
}

// rawRequestHead returns the head of a valid request of a class as it is sent over the wire, with additional header lines.
func (sidecar *testSidecar) rawRequestHead(class string, lines ...string) string {
	request := sidecar.newRequest(class)
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api HTTP/1.1\r\nHost: app.svc\r\n", request.Method)
	request.Header.Write(&text)
	for _, line := range lines {
		text.WriteString(line + "\r\n")
	}
	return text.String() + "\r\n"
}

// do sends a request and returns the response with its body.
func (sidecar *testSidecar) do(request *http.Request) (*http.Response, string) {
	sidecar.t.Helper()
	resp, err := sidecar.client.Do(request)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	return resp, string(body)
}

// sendForStatus sends a request and returns the status, or 0 after a transport error, which fails the test. Unlike do
// it may be called from any goroutine.
func (sidecar *testSidecar) sendForStatus(request *http.Request) int {
	sidecar.t.Helper()
	resp, err := sidecar.client.Do(request)
	if err != nil {
		sidecar.t.Error(err)
		return 0
	}
	return resp.StatusCode
}

// dial opens a client connection, which is closed at the end of the test.
func (sidecar *testSidecar) dial() net.Conn {
	sidecar.t.Helper()
	return sidecar.dialAddr(sidecar.addr)
}

// dialAddr opens a connection to an address, which is closed at the end of the test.
func (sidecar *testSidecar) dialAddr(addr string) net.Conn {
	sidecar.t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		sidecar.t.Fatal(err)
	}
	sidecar.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.Timeout))
	return conn
}

// expectResponse reads a response from a connection, or a buffered reader of it, and fails the test if its status is another
// one. request names the request for the message of the failure.
func (sidecar *testSidecar) expectResponse(from io.Reader, request string, status int) *http.Response {
	sidecar.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(from), nil)
	if err != nil {
		sidecar.t.Fatalf("%s: no response: %v", request, err)
	}
	if resp.StatusCode != status {
		sidecar.t.Fatalf("%s: status %d, want %d", request, resp.StatusCode, status)
	}
	return resp
}

// write sends text on a connection.
func (sidecar *testSidecar) write(conn net.Conn, text string) {
	sidecar.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		sidecar.t.Fatal(err)
	}
}
