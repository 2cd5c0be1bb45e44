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

// sidecarProcess is one of the processes that take part in an upgrade, started with Run as by the program.
type sidecarProcess struct {
	*testSidecar
	exited chan error
}

// lastHostNumber numbers the loopback hosts that unusedHostAddr returned.
var lastHostNumber atomic.Int64

// unusedHostAddr returns an address on a loopback host that nothing else uses, so that the port stays unused.
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

// startProcess runs a sidecar at an address, with its own admin address and the scratch folder that it shares with its
// predecessor and its successor, and waits until it is ready.
func startProcess(t *testing.T, addr, scratch string, endpoints ...membership.Endpoint) *sidecarProcess {
	t.Helper()
	cfg := sidecartest.Config(t, endpoints...)
	cfg.Listen = addr
	cfg.AdminListen = unusedHostAddr(t)
	cfg.ScratchDir = scratch
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

// TestUpgradeLosesNoRequests tests the failure in which an upgrade loses requests: connections that wait to be accepted are reset
// with the listener of the predecessor, or a persistent connection is closed while a request is on its way. No request may be lost,
// rejected or truncated, neither on persistent connections nor on new ones.
func TestUpgradeLosesNoRequests(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	addr, scratch := unusedHostAddr(t), t.TempDir()
	firstProcess := startProcess(t, addr, scratch, sidecartest.ReadyEndpoint("s-1", server.Addr))
	predecessor := firstProcess
	var served, broken atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan bool)
	for i := range 4 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: sidecartest.Timeout}
		clients.Go(func() { firstProcess.sendRequests(client, stop, &served, &broken) })
	}
	awaitMoreServed := func(count int64) {
		before := served.Load()
		sidecartest.WaitFor(t, "clients are served", func() bool { return served.Load() >= before+count || broken.Load() > 0 })
	}
	awaitMoreServed(50)
	for range 2 { // two upgrades in a row, of which the second is from a successor
		successor := startProcess(t, addr, scratch, sidecartest.ReadyEndpoint("s-1", server.Addr))
		awaitMoreServed(50)
		predecessor.shutdown()
		if err := sidecartest.Next(t, predecessor.exited); err != nil {
			t.Errorf("the predecessor ended with an error: %v", err)
		}
		predecessor.exited <- nil // for the cleanup, which waits for the exit too
		awaitMoreServed(50)
		predecessor = successor
	}
	close(stop)
	clients.Wait()
}

// sendRequests sends requests with a client until stop is closed or a request is not served, and counts them.
func (process *sidecarProcess) sendRequests(client *http.Client, stop <-chan bool, served, broken *atomic.Int64) {
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		resp, err := client.Do(process.newRequest("pay")) // a POST, which net/http does not retry by itself
		if err != nil {
			broken.Add(1)
			process.t.Error(err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || string(body) != "served" {
			broken.Add(1)
			process.t.Errorf("status %d, body %q, error %v", resp.StatusCode, body, err)
			return
		}
		served.Add(1)
	}
}

// TestSuccessorInheritsEndpointList checks that a process which takes over knows the endpoints of its predecessor, although
// its configuration names none.
func TestSuccessorInheritsEndpointList(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	addr, scratch := unusedHostAddr(t), t.TempDir()
	startProcess(t, addr, scratch, sidecartest.ReadyEndpoint("s-1", server.Addr))
	successor := startProcess(t, addr, scratch) // ready only with the state of its predecessor
	if got := successor.metric("members"); got != "1" {
		t.Errorf("the successor knows %s endpoints, want 1", got)
	}
}

// TestStartWithUnusableUpgradeSocket tests the failure in which something else occupies the path of the upgrade socket: what a crash
// has left behind, or a process that does not speak the protocol. A new process could wait for a predecessor that does not exist. It
// must start in time and serve.
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
			addr, scratch := unusedHostAddr(t), t.TempDir()
			occupy(t, upgrade.SocketPath(scratch, addr))
			process := startProcess(t, addr, scratch, sidecartest.ReadyEndpoint("s-1", server.Addr))
			if resp, _ := process.do(process.newRequest("read")); resp.StatusCode != 200 {
				t.Errorf("status %d, want 200", resp.StatusCode)
			}
		})
	}
}

// listenUnix listens on a Unix socket until the end of the test.
func listenUnix(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}
