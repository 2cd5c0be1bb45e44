package sidecar

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/config"
	"cindersaddle/internal/sidecartest"
)

// descriptorLimit is the limit on open descriptors of the process under test.
const descriptorLimit = 96

// runSidecarVariable is the environment variable that makes the test binary run a sidecar instead of the tests.
const runSidecarVariable = "TEST_SIDECAR"

// TestMain runs a sidecar instead of the tests if runSidecarVariable is set. A descriptor limit applies to a whole
// process, so a sidecar with such a limit needs a separate process.
func TestMain(m *testing.M) {
	if os.Getenv(runSidecarVariable) == "" {
		os.Exit(m.Run())
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := runWithDescriptorLimit(log); err != nil {
		log.Error("the sidecar failed", "error", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// runWithDescriptorLimit lowers the descriptor limit of the process to descriptorLimit and runs a sidecar.
func runWithDescriptorLimit(log *slog.Logger) error {
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Limits.Sockets = descriptorLimit
	return Run(context.Background(), cfg, nil, log)
}

// unusedAddr returns an address on which no process listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln := sidecartest.Listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

// startSidecarWithDescriptorLimit starts a sidecar in a separate process with a low descriptor limit, and waits until
// it listens.
func startSidecarWithDescriptorLimit(t *testing.T) *testSidecar {
	t.Helper()
	sidecar := newTestSidecar(t)
	sidecar.addr, sidecar.adminAddr = unusedAddr(t), unusedAddr(t)
	sidecar.client.Transport = &http.Transport{DisableKeepAlives: true}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(),
		runSidecarVariable+"=1",
		"NODE_CONFIG="+sidecartest.ConfigPath(),
		"NODE_LISTEN="+sidecar.addr,
		"NODE_MGMT="+sidecar.adminAddr,
		"NODE_DISCOVERY="+sidecar.discovery.Addr,
		"TMPDIR="+t.TempDir(),
	)
	logOutput, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	listening := make(chan bool, 1)
	go func() {
		for lines := bufio.NewScanner(logOutput); lines.Scan(); {
			if strings.Contains(lines.Text(), "msg=listening") {
				listening <- true
			}
		}
	}()
	sidecartest.Next(t, listening)
	return sidecar
}

// TestDiscoveryReachableAtDescriptorLimit guards against the failure that idle clients, which keep connecting, use up
// the descriptors of a sidecar during a discovery outage. If the sidecar could not connect to discovery after the
// outage, it would continue to send requests to draining endpoints. It must apply the next endpoint list, serve
// requests and respond to health checks.
func TestDiscoveryReachableAtDescriptorLimit(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	sidecar := startSidecarWithDescriptorLimit(t)
	sidecartest.Next(t, sidecar.discovery.Queries)
	draining := sidecartest.DrainingEndpoint("s-9", firstServer.Addr)
	sidecar.discovery.Lists <- sidecartest.CompleteList(42,
		sidecartest.ReadyEndpoint("s-1", firstServer.Addr), draining,
	)
	// Before that, the sidecar is ready with the endpoint list of its configuration, whose only endpoint does not
	// exist.
	sidecartest.WaitFor(t, "the first endpoint list is applied", func() bool { return sidecar.metric("members") == "2" })
	sidecar.waitUntilReady()
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Fatalf("got the response of endpoint %q, want %q", body, "one")
	}
	defer startIdleClients(sidecar.addr)()
	for range 3 { // the outage lasts for three requests that get no response
		sidecartest.Next(t, sidecar.discovery.Cancelled)
	}
	draining.ID = "s-1"
	sidecar.discovery.Lists <- sidecartest.CompleteList(43,
		draining, sidecartest.ReadyEndpoint("s-2", secondServer.Addr), sidecartest.ReadyEndpoint("s-3", secondServer.Addr),
	)
	sidecartest.WaitFor(t, "the second endpoint list is applied", func() bool { return sidecar.metric("members") == "3" })
	for range 5 {
		if resp, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("got status %d, body %q, want the response of endpoint \"two\"", resp.StatusCode, body)
		}
	}
	if resp, _ := sidecar.callAdmin("GET", "/api/ready"); resp.StatusCode != 200 {
		t.Errorf("GET /api/ready: got status %d, want 200", resp.StatusCode)
	}
	if got := len(firstServer.Requests()); got != 1 {
		t.Errorf("got %d requests at the draining endpoint, want 1", got)
	}
}

// startIdleClients runs connectIdleClients in a goroutine. stop ends it and waits for its end.
func startIdleClients(addr string) (stop func()) {
	stopping, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		connectIdleClients(addr, stopping)
	}()
	return func() {
		close(stopping)
		<-done
	}
}

// connectIdleClients opens client connections without a complete request until stop is closed. It keeps more
// connections open than the process under test has descriptors, and closes the oldest one when it opens another.
func connectIdleClients(addr string, stop <-chan bool) {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, sidecartest.Timeout)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if i%2 == 0 {
			io.WriteString(conn, "GET /api HTTP/1.1\r\n") // the first line only
		}
		if conns = append(conns, conn); len(conns) > 3*descriptorLimit {
			conns[0].Close()
			conns = conns[1:]
		}
	}
}
