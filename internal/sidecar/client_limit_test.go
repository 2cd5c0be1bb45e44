package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
)

// TestIdleClientsAreClosedFirst checks that at the connection limit new clients are served in place of idle ones, and
// that a connection with a pending request is never closed for them.
func TestIdleClientsAreClosedFirst(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	server := sidecartest.NewScriptedServer(t, sidecartest.RespondAfter(started, release), sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = 64 // 20 of them for clients
	sidecar := startSidecar(t, cfg)
	pending := sidecar.dial()
	sidecar.write(pending, sidecar.rawRequest("read"))
	sidecartest.Next(t, started)
	for range 100 {
		sidecar.dial()
		idle := sidecar.dial()
		sidecar.write(idle, sidecar.rawRequest("read"))
		resp, err := http.ReadResponse(bufio.NewReader(idle), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("client after many idle ones: response %v, error %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(pending), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("pending request: response %v, error %v", resp, err)
	}
}

// TestIdleConnectionLimit checks that only some connections are kept alive after a response, and the others announce
// their close with it: idle connections use up the descriptors of the application before those of the sidecar.
func TestIdleConnectionLimit(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = 224 // 100 of them for clients, 25 of those kept alive
	sidecar := startSidecar(t, cfg)
	keptAlive := 0
	for range 60 {
		conn := sidecar.dial()
		sidecar.write(conn, sidecar.rawRequest("read"))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if !resp.Close {
			keptAlive++
		}
	}
	if keptAlive < 20 || keptAlive > 30 {
		t.Errorf("%d of 60 connections are kept alive, want about 25", keptAlive)
	}
}

// TestSlowestRequestIsClosedAtLimit checks that clients with incomplete requests cannot occupy all connections: at the
// limit the request that progresses slowest is closed.
func TestSlowestRequestIsClosedAtLimit(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = 64 // 20 of them for clients
	sidecar := startSidecar(t, cfg)
	for i := range 60 {
		partial := sidecar.rawRequest("pay", "Content-Length: 100") + "half"
		sidecar.write(sidecar.dial(), partial[:len(partial)-40*(i%2)]) // part of the head, or of the body
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("after %d incomplete requests: status %d, want 200", i, resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
}

// TestActiveClientOutlivesStalledOnes checks that a client which goes on writing slowly is served, while stalled ones
// are closed before it, no matter how many there are and how long the slow one takes.
func TestActiveClientOutlivesStalledOnes(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = 64 // 20 of them for clients
	sidecar := startSidecar(t, cfg)
	slow, text := sidecar.dial(), sidecar.rawRequest("pay", "Content-Length: 2")+"ab"
	for _, b := range []byte(text) {
		sidecar.write(slow, string(b))
		partial := sidecar.rawRequest("read")
		sidecar.write(sidecar.dial(), partial[:len(partial)/2])
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("client beside the slow one: status %d, want 200", resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("slow client: response %v, error %v", resp, err)
	}
}

// TestStalledClientTimeout checks that a client which sends nothing, or stops within its request, gets an error or a
// close in time, and that no part of its request reaches a server.
func TestStalledClientTimeout(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
	for name, text := range map[string]string{
		"nothing": "", "half a head": "POST /api HTTP/1.1\r\nX-Qos: p",
		"half a body":  sidecar.rawRequest("pay", "Content-Length: 100") + "half",
		"half a chunk": sidecar.rawRequest("pay", "Transfer-Encoding: chunked") + "10\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := sidecar.dial()
			sidecar.write(conn, text)
			start := time.Now()
			got, err := io.ReadAll(conn)
			if err != nil || strings.HasPrefix(string(got), "HTTP/1.1 200") {
				t.Errorf("response %q, error %v, want an error status or a close", got, err)
			}
			if elapsed := time.Since(start); elapsed < downstream.MinIdleBeforeClose || elapsed > sidecartest.Timeout/2 {
				t.Errorf("closed after %v", elapsed)
			}
		})
	}
	t.Cleanup(func() {
		if got := sidecartest.RequestsTo(server); len(got) != 0 {
			t.Errorf("%d incomplete requests reached the server", len(got))
		}
	})
}
