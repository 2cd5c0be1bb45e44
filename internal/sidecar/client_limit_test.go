package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/downstream"
	"cindersaddle/internal/sidecartest"
)

const (
	// socketsForFewClients is a limit of which 20 sockets are for clients.
	socketsForFewClients = 64
	// socketsForManyClients is a limit of which 100 sockets are for clients, and 25 of those for idle connections.
	socketsForManyClients = 224
)

// TestIdleClientsAreClosedFirst tests the failure in which idle connections occupy all sockets for clients. New clients would get
// no connection. They must be served in place of the idle ones, and a connection with a pending request must not be closed for
// them.
func TestIdleClientsAreClosedFirst(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t, gate.Hold(sidecartest.Respond(200, "held")), sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = socketsForFewClients
	sidecar := startSidecar(t, cfg)
	pending := sidecar.dial()
	sidecar.write(pending, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	for range 100 {
		sidecar.dial()
		idle := sidecar.dial()
		sidecar.write(idle, sidecar.rawRequestHead("read"))
		io.Copy(io.Discard, sidecar.expectResponse(idle, "client after many idle ones", http.StatusOK).Body)
	}
	gate.Open()
	sidecar.expectResponse(pending, "pending request", http.StatusOK)
}

// TestIdleConnectionLimit tests the failure in which an application keeps so many connections open that it has no descriptors
// left, before the sidecar reaches its own limit. Only some connections may persist after a response; with the others, the response
// must announce the close.
func TestIdleConnectionLimit(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = socketsForManyClients
	sidecar := startSidecar(t, cfg)
	persistent := 0
	for range 60 {
		conn := sidecar.dial()
		sidecar.write(conn, sidecar.rawRequestHead("read"))
		resp := sidecar.expectResponse(conn, "request", http.StatusOK)
		io.Copy(io.Discard, resp.Body)
		if !resp.Close {
			persistent++
		}
	}
	if persistent < 20 || persistent > 30 {
		t.Errorf("%d of 60 connections persist, want about 25", persistent)
	}
}

// TestSlowestRequestIsClosedAtLimit tests the failure in which clients with incomplete requests occupy all sockets for clients.
// Nobody else would be served until they time out. At the limit, the request that progresses slowest must be closed.
func TestSlowestRequestIsClosedAtLimit(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = socketsForFewClients
	sidecar := startSidecar(t, cfg)
	for i := range 60 {
		partial := sidecar.rawRequestHead("pay", "Content-Length: 100") + "half"
		sidecar.write(sidecar.dial(), partial[:len(partial)-40*(i%2)]) // part of the head, or of the body
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("after %d incomplete requests: status %d, want 200", i, resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
}

// TestActiveClientOutlivesStalledOnes tests the failure in which a slow client is closed in place of stalled ones, as it has been
// connected for longer. A client that goes on writing must be served, however many stalled ones there are and however long it takes.
func TestActiveClientOutlivesStalledOnes(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = socketsForFewClients
	sidecar := startSidecar(t, cfg)
	slow, text := sidecar.dial(), sidecar.rawRequestHead("pay", "Content-Length: 2")+"ab"
	for _, b := range []byte(text) {
		sidecar.write(slow, string(b))
		partial := sidecar.rawRequestHead("read")
		sidecar.write(sidecar.dial(), partial[:len(partial)/2])
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("client beside the slow one: status %d, want 200", resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
	sidecar.expectResponse(slow, "slow client", http.StatusOK)
}

// TestStalledClientTimeout tests the failure in which a client sends nothing, or stops within its request. Its connection would
// stay open for ever. It must get an error or a close in time, and no part of its request may reach an endpoint.
func TestStalledClientTimeout(t *testing.T) {
	sidecar, server := startWithEndpoint(t, sidecartest.Respond(200, "served"))
	for name, text := range map[string]string{
		"nothing": "", "half a head": "POST /api HTTP/1.1\r\nX-Qos: p",
		"half a body":  sidecar.rawRequestHead("pay", "Content-Length: 100") + "half",
		"half a chunk": sidecar.rawRequestHead("pay", "Transfer-Encoding: chunked") + "10\r\nhalf",
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
		if got := server.Requests(); len(got) != 0 {
			t.Errorf("%d incomplete requests reached the endpoint", len(got))
		}
	})
}
