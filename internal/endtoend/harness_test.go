package endtoend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/standin"
)

const (
	endpointCount = 9
	// lookupClass and orderClass are classes of the settings: GET, and POST with a key.
	lookupClass, orderClass = "read", "reserve"
	lookupDeadline          = 2 * time.Second
	orderDeadline           = 1500 * time.Millisecond
	// lateAfter is how long after its deadline a response counts as late.
	lateAfter = 500 * time.Millisecond
)

// program is the path of the sidecar that TestMain builds.
var program string

// TestMain builds the sidecar that is shipped, without build tags.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "endtoend-")
	if err == nil {
		program, err = standin.BuildSidecar(dir, "")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// orderHandler handles an order at an endpoint, whose body has not been read. It reports whether the connection persists.
type orderHandler func(conn net.Conn, reader *bufio.Reader, order *http.Request) bool

// endpoint responds to health checks and lookups at once, and to orders as its handler does.
type endpoint struct {
	address string
	handle  orderHandler

	mu     sync.Mutex
	orders map[string]int // attempts of each trace ID whose head was received
}

// attempts returns the number of attempts of an order at an endpoint.
func (e *endpoint) attempts(traceID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[traceID]
}

// startEndpoint starts an endpoint. receiveBuffer is the size of its receive buffers in bytes; 0 leaves it to the kernel.
func startEndpoint(t testing.TB, receiveBuffer int, handle orderHandler) *endpoint {
	t.Helper()
	listener := listen(t)
	e := &endpoint{address: listener.Addr().String(), handle: handle, orders: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if receiveBuffer > 0 {
				conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			}
			go e.serve(conn)
		}
	}()
	return e
}

// listen opens a listener on a free port, which is closed at the end of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodGet {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			continue
		}
		e.mu.Lock()
		e.orders[request.Header.Get("X-Trace-Id")]++
		e.mu.Unlock()
		if !e.handle(conn, reader, request) {
			return
		}
	}
}

// readAndRespond returns a handler that reads the body, waits, and responds with a body of the given length.
func readAndRespond(delay time.Duration, length int) orderHandler {
	body := strings.Repeat("r", length)
	return func(conn net.Conn, _ *bufio.Reader, order *http.Request) bool {
		if _, err := io.Copy(io.Discard, order.Body); err != nil {
			return false
		}
		time.Sleep(delay)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
}

// hang is a handler that reads nothing until the sidecar closes the connection, which it checks with a write-free wait.
func hang(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
	time.Sleep(10 * time.Second)
	return false
}

// setup is a sidecar between clients and endpoints.
type setup struct {
	*standin.Process
	address   string // of the sidecar, for clients
	endpoints []*endpoint
	dir       string // of the configuration file, and the directory that the processes of an upgrade share
}

// options are the properties of a setup that differ between tests.
type options struct {
	memoryMB      float64
	sockets       int
	receiveBuffer int // of the endpoints, in bytes; 0: as the kernel chooses
	orders        orderHandler
	upgradable    bool
}

// start starts endpoints and a sidecar, which are stopped at the end of the test.
func start(t testing.TB, opts options) *setup {
	t.Helper()
	s := &setup{dir: t.TempDir()}
	var known []membership.Endpoint
	for i := range endpointCount {
		e := startEndpoint(t, opts.receiveBuffer, opts.orders)
		s.endpoints = append(s.endpoints, e)
		known = append(known, sidecartest.ReadyEndpoint(fmt.Sprintf("s-%d", i), e.address))
	}
	discovery, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	for _, entry := range known {
		discovery.SetEndpoint(entry)
	}
	if s.address, err = standin.FreeAddress(); err != nil {
		t.Fatal(err)
	}
	config := standin.ProcessConfig{
		Name: "n1", Listen: s.address, Discovery: discovery.Addr(), Seed: "8c1f30d27a5be964",
		Limits: standin.ProcessLimits{Cores: 1, MemoryMB: opts.memoryMB, Sockets: opts.sockets},
		Known:  discovery.List(), Settings: settings(t),
	}
	if opts.upgradable {
		config.Admin = freeAddress(t)
	}
	s.Process, err = standin.StartProcess(program, s.dir, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Process.Kill)
	return s
}

// attempts returns the number of attempts of an order at all endpoints.
func (s *setup) attempts(traceID string) int {
	count := 0
	for _, e := range s.endpoints {
		count += e.attempts(traceID)
	}
	return count
}

// dial opens a connection to the sidecar. It is closed at the end of the test.
func (s *setup) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.Timeout))
	return conn
}

// startSuccessor starts a second process beside the running one, for an upgrade.
func (s *setup) startSuccessor(t *testing.T) *standin.Process {
	t.Helper()
	config := s.Config
	config.Name, config.Admin = "n1-successor", freeAddress(t)
	successor, err := standin.StartProcess(program, s.dir, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Kill)
	return successor
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// settings returns the settings of the tests' configuration file, with the deadlines of the site.
func settings(t testing.TB) map[string]any {
	t.Helper()
	text, err := os.ReadFile(sidecartest.ConfigPath())
	if err != nil {
		t.Fatal(err)
	}
	var document struct {
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	for _, entry := range document.Settings["classes"].([]any) {
		class := entry.(map[string]any)
		class["hard_limit_ms"], class["on_time_ms"], class["window_ms"] = float64(orderDeadline.Milliseconds()), 800.0, 3000.0
		if class["name"] == lookupClass {
			class["hard_limit_ms"], class["on_time_ms"] = float64(lookupDeadline.Milliseconds()), 500.0
		}
	}
	return document.Settings
}

// lastTraceID numbers the requests, so that all trace IDs differ.
var lastTraceID atomic.Int64

// newTraceID returns a trace ID that no other request has.
func newTraceID() string { return standin.TraceID(int(lastTraceID.Add(1))) }

// orderHead returns the head of an order with additional header lines, each with its line end.
func orderHead(traceID, lines string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n"+
		"X-Expires-In: %dm\r\nIdempotency-Key: k-%s\r\n%s\r\n",
		traceID, orderClass, orderDeadline.Milliseconds(), traceID, lines)
}

// contentLength returns a header line with the length of a body.
func contentLength(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

// wellBehaved sends lookups, one after another, each on a new connection in turn with a kept one, and counts the results.
type wellBehaved struct {
	sent, served, unanswered int
	slowest                  time.Duration
	outcomes                 map[standin.ExchangeOutcome]int
}

// run sends lookups until stop is closed.
func (c *wellBehaved) run(address string, stop <-chan struct{}) {
	const pause = 20 * time.Millisecond
	client := standin.NewClient(address)
	defer client.Close()
	c.outcomes = map[standin.ExchangeOutcome]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		exchange := client.Do(standin.Request{TraceID: newTraceID(), Class: lookupClass, Tenant: "acme", Deadline: lookupDeadline})
		c.sent++
		c.outcomes[exchange.Outcome]++
		c.slowest = max(c.slowest, exchange.EndedAt.Sub(exchange.BeganAt))
		switch exchange.Outcome {
		case standin.ExchangeServed:
			c.served++
		case standin.ExchangeRejected, standin.ExchangeFailed:
		default:
			c.unanswered++
		}
		if c.sent%2 == 0 {
			client.Close()
		}
	}
}
