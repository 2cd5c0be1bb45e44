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

// testSidecar is a sidecar under test with an HTTP client and the discovery service that the sidecar uses.
type testSidecar struct {
	t         *testing.T
	addr      string
	adminAddr string // empty without an admin address
	discovery *sidecartest.DiscoveryServer
	client    *http.Client
	reloads   chan os.Signal     // each signal reloads the configuration, as SIGHUP does
	shutdown  context.CancelFunc // starts the shutdown, as SIGTERM does
	exitError chan error         // receives the result of serve
}

// newTestSidecar returns a testSidecar whose discovery service runs, but whose sidecar is not started.
func newTestSidecar(t *testing.T) *testSidecar {
	t.Helper()
	return &testSidecar{
		t:         t,
		discovery: sidecartest.NewDiscoveryServer(t),
		client:    &http.Client{Transport: &http.Transport{}, Timeout: sidecartest.Timeout},
	}
}

// startSidecar starts a sidecar that logs nothing. It is shut down at the end of the test.
func startSidecar(t *testing.T, cfg *config.Config) *testSidecar {
	t.Helper()
	return startSidecarWithHooks(t, cfg, slog.DiscardHandler, readHooks{})
}

// startWithEndpoint starts a sidecar with one endpoint. The endpoint's server runs steps.
func startWithEndpoint(t *testing.T, steps ...sidecartest.Step) (*testSidecar, *sidecartest.ScriptedServer) {
	t.Helper()
	server := sidecartest.NewScriptedServer(t, steps...)
	return startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))), server
}

// startWithEndpointAndAdmin starts a sidecar with an admin address and one endpoint. The endpoint's server runs steps.
func startWithEndpointAndAdmin(t *testing.T, steps ...sidecartest.Step) (*testSidecar, *sidecartest.ScriptedServer) {
	t.Helper()
	server := sidecartest.NewScriptedServer(t, steps...)
	return startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))), server
}

// startSidecarWithHooks starts a sidecar that logs to logHandler and runs hooks around its reads from clients. It is
// shut down at the end of the test, and a failed shutdown fails the test.
func startSidecarWithHooks(t *testing.T, cfg *config.Config, logHandler slog.Handler, hooks readHooks) *testSidecar {
	t.Helper()
	sidecar := newTestSidecar(t)
	sidecar.exitError = make(chan error, 1)
	sidecar.reloads = make(chan os.Signal, 1)
	cfg.Discovery = sidecar.discovery.Addr
	ln := sidecartest.Listen(t)
	sidecar.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	sidecar.shutdown = cancel
	resources := startupResources{clientListener: ln, adminListener: sidecar.listenAdmin(cfg), readHooks: hooks}
	go func() { sidecar.exitError <- serve(ctx, cfg, resources, sidecar.reloads, slog.New(logHandler)) }()
	t.Cleanup(sidecar.stopAndWait)
	return sidecar
}

// stopAndWait shuts the sidecar down and waits for its end. It fails the test if that fails or takes too long.
func (sidecar *testSidecar) stopAndWait() {
	sidecar.client.CloseIdleConnections()
	sidecar.shutdown()
	select {
	case err := <-sidecar.exitError:
		if err != nil {
			sidecar.t.Errorf("the sidecar ended with error %v, want none", err)
		}
	case <-time.After(sidecartest.Timeout):
		sidecar.t.Errorf("the sidecar did not end within %v", sidecartest.Timeout)
	}
}

// listenAdmin opens an admin listener on a free port if the configuration has an admin address.
func (sidecar *testSidecar) listenAdmin(cfg *config.Config) net.Listener {
	if cfg.AdminListen == "" {
		return nil
	}
	ln := sidecartest.Listen(sidecar.t)
	sidecar.adminAddr = ln.Addr().String()
	return ln
}

// withAdmin gives the configuration an admin address, and returns it.
func withAdmin(cfg *config.Config) *config.Config {
	cfg.AdminListen = "127.0.0.1:0"
	return cfg
}

// lastTraceID is the last trace ID in use. Each request gets the next one, so that all trace IDs differ.
var lastTraceID atomic.Int64

// newRequest returns a valid request of a class: a GET for the class read, and a POST for every other class.
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
		"X-Trace-Id":   {fmt.Sprintf("%016x", lastTraceID.Add(1))},
		"X-Qos":        {class},
		"X-Customer":   {"acme"},
		"X-Expires-In": {"15000m"},
	}
	if class == "reserve" {
		request.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	return request
}

// newRequestForClass returns a request that names class, but otherwise has the method, headers and body of a request of
// templateClass.
func (sidecar *testSidecar) newRequestForClass(templateClass, class string) *http.Request {
	request := sidecar.newRequest(templateClass)
	request.Header.Set("X-Qos", class)
	return request
}

// rawRequestHead returns the head of a valid request of a class in wire format, with additional header lines.
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

// do sends a request and returns the response and its body. A transport error fails the test.
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

// sendForStatus sends a request and returns the status. A transport error fails the test and returns 0. Unlike do, it
// may be called from any goroutine.
func (sidecar *testSidecar) sendForStatus(request *http.Request) int {
	sidecar.t.Helper()
	resp, err := sidecar.client.Do(request)
	if err != nil {
		sidecar.t.Error(err)
		return 0
	}
	return resp.StatusCode
}

// dial opens a connection to the client address. It is closed at the end of the test.
func (sidecar *testSidecar) dial() net.Conn {
	sidecar.t.Helper()
	return sidecar.dialAddr(sidecar.addr)
}

// dialAddr opens a connection to an address. It is closed at the end of the test.
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

// expectResponse reads a response from a connection or a bufio.Reader on it, and fails the test unless the response has
// wantStatus. Failure messages start with description.
func (sidecar *testSidecar) expectResponse(reader io.Reader, description string, wantStatus int) *http.Response {
	sidecar.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(reader), nil)
	if err != nil {
		sidecar.t.Fatalf("%s: got error %v, want a response with status %d", description, err, wantStatus)
	}
	if resp.StatusCode != wantStatus {
		sidecar.t.Fatalf("%s: got status %d, want %d", description, resp.StatusCode, wantStatus)
	}
	return resp
}

// write writes text to a connection, and fails the test if that fails.
func (sidecar *testSidecar) write(conn net.Conn, text string) {
	sidecar.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		sidecar.t.Fatal(err)
	}
}
