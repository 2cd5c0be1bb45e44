package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upgrade"
)

// sidecarProcess is one of the processes that take part in an upgrade. Unlike testSidecar, it runs Run, as the program
// does.
type sidecarProcess struct {
	*testSidecar
	exited chan error // receives the result of Run
}

// lastHostNumber is the number of the last loopback host that unusedHostAddr returned.
var lastHostNumber atomic.Int64

// unusedHostAddr returns an address on a loopback host of its own, so that no other test takes the port.
func unusedHostAddr(t *testing.T) string {
	t.Helper()
	n := lastHostNumber.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250, 1+n%250)
	ln, err := net.Listen("tcp", host)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startProcess runs a sidecar at the client address addr, with a new admin address, and waits until it is ready. The
// sidecar shares scratchDir with its predecessor and its successor.
func startProcess(t *testing.T, addr, scratchDir string, endpoints ...membership.Endpoint) *sidecarProcess {
	t.Helper()
	cfg := sidecartest.Config(t, endpoints...)
	cfg.Listen = addr
	cfg.AdminListen = unusedHostAddr(t)
	cfg.ScratchDir = scratchDir
	sidecar := newTestSidecar(t)
	sidecar.addr, sidecar.adminAddr = addr, cfg.AdminListen
	cfg.Discovery = sidecar.discovery.Addr
	process := &sidecarProcess{sidecar, make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	sidecar.shutdown = cancel
	go func() { process.exited <- Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		sidecar.client.CloseIdleConnections()
		cancel()
		sidecartest.Next(t, process.exited)
	})
	sidecartest.WaitFor(t, "the process is ready", func() bool {
		resp, err := sidecar.client.Get("http://" + sidecar.adminAddr + "/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	return process
}

// TestUpgradeLosesNoRequests guards against an upgrade that loses requests: connections that wait to be accepted are
// reset when the predecessor closes its listener, or a persistent connection is closed while a request is on its way.
// No request may be lost, rejected or truncated, on persistent connections or on new ones.
func TestUpgradeLosesNoRequests(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	addr, scratchDir := unusedHostAddr(t), t.TempDir()
	firstProcess := startProcess(t, addr, scratchDir, sidecartest.ReadyEndpoint("s-1", server.Addr))
	predecessor := firstProcess
	var served, notServed atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan bool)
	for i := range 4 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: sidecartest.Timeout}
		clients.Go(func() { firstProcess.sendRequests(client, stop, &served, &notServed) })
	}
	awaitMoreServed := func(count int64) {
		before := served.Load()
		sidecartest.WaitFor(t, "clients are served", func() bool {
			return served.Load() >= before+count || notServed.Load() > 0
		})
	}
	awaitMoreServed(50)
	for range 2 { // the second upgrade starts from the successor of the first one
		successor := startProcess(t, addr, scratchDir, sidecartest.ReadyEndpoint("s-1", server.Addr))
		awaitMoreServed(50)
		predecessor.shutdown()
		if err := sidecartest.Next(t, predecessor.exited); err != nil {
			t.Errorf("the predecessor ended with error %v, want none", err)
		}
		predecessor.exited <- nil // for the cleanup of startProcess, which also receives from it
		awaitMoreServed(50)
		predecessor = successor
	}
	close(stop)
	clients.Wait()
}

// sendRequests sends requests with a client until stop is closed or a request is not served. It counts them in served
// and notServed.
func (process *sidecarProcess) sendRequests(client *http.Client, stop <-chan bool, served, notServed *atomic.Int64) {
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		resp, err := client.Do(process.newRequest("pay")) // a POST, which net/http does not retry by itself
		if err != nil {
			notServed.Add(1)
			process.t.Error(err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || string(body) != "served" {
			notServed.Add(1)
			process.t.Errorf("got status %d, body %q, error %v, want 200, \"served\", none", resp.StatusCode, body, err)
			return
		}
		served.Add(1)
	}
}

// TestSuccessorInheritsEndpointList checks that a process that takes over knows the endpoints of its predecessor,
// although its configuration has none.
func TestSuccessorInheritsEndpointList(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	addr, scratchDir := unusedHostAddr(t), t.TempDir()
	startProcess(t, addr, scratchDir, sidecartest.ReadyEndpoint("s-1", server.Addr))
	successor := startProcess(t, addr, scratchDir) // gets ready only with the endpoint list of its predecessor
	if got := successor.metric("members"); got != "1" {
		t.Errorf("got %s endpoints at the successor, want 1", got)
	}
}

// TestStartWithUnusableUpgradeSocket guards against a process that waits for a predecessor that does not exist, because
// something else occupies the path of the upgrade socket: a leftover of a crash, or a process that does not speak the
// upgrade protocol. The process must start in time and serve.
func TestStartWithUnusableUpgradeSocket(t *testing.T) {
	for name, occupy := range map[string]func(t *testing.T, path string){
		"a file":   func(t *testing.T, path string) { os.WriteFile(path, []byte("x"), 0o600) },
		"a folder": func(t *testing.T, path string) { os.Mkdir(path, 0o700) },
		"a dead socket": func(t *testing.T, path string) {
			ln := listenUnix(t, path)
			ln.SetUnlinkOnClose(false)
			ln.Close()
		},
		"silence": func(t *testing.T, path string) { listenUnix(t, path) },
		"noise": func(t *testing.T, path string) {
			ln := listenUnix(t, path)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					io.WriteString(conn, strings.Repeat("\xff\x00noise", 1000))
					conn.Close()
				}
			}()
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
			addr, scratchDir := unusedHostAddr(t), t.TempDir()
			occupy(t, upgrade.SocketPath(scratchDir, addr))
			process := startProcess(t, addr, scratchDir, sidecartest.ReadyEndpoint("s-1", server.Addr))
			if resp, _ := process.do(process.newRequest("read")); resp.StatusCode != 200 {
				t.Errorf("got status %d, want 200", resp.StatusCode)
			}
		})
	}
}

// listenUnix listens on a Unix socket. The listener is closed at the end of the test.
func listenUnix(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}
