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
	// socketsForFewClients is a socket limit that leaves 20 sockets for clients: half of the rest after
	// config.ReservedSockets.
	socketsForFewClients = 64
	// socketsForManyClients is a socket limit that leaves 100 sockets for clients, at most 25 of them for idle
	// connections.
	socketsForManyClients = 224
)

// TestIdleClientsAreClosedFirst guards against idle connections that occupy all client sockets, so that new clients
// cannot connect. The sidecar must close idle connections to serve new clients, but no connection with a pending
// request.
func TestIdleClientsAreClosedFirst(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t,
		gate.Hold(sidecartest.Respond(200, "held")), sidecartest.Respond(200, "served"))
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

// TestIdleConnectionLimit guards against an application that runs out of descriptors because the sidecar keeps all of
// its connections open, before the sidecar reaches its own limit. Only a limited number of connections may persist
// after a response. The responses on all others must announce the close.
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
		t.Errorf("got %d of 60 connections that persist, want 20 to 30", persistent)
	}
}

// TestSlowestRequestIsClosedAtLimit guards against clients with incomplete requests that occupy all client sockets, so
// that no other client is served until they time out. At the limit, the sidecar must close the connection whose request
// progresses slowest.
func TestSlowestRequestIsClosedAtLimit(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))
	cfg.Limits.Sockets = socketsForFewClients
	sidecar := startSidecar(t, cfg)
	const bytesIntoHead = 40 // cut off from the end, these include the body and a part of the head
	for i := range 60 {
		partial := sidecar.rawRequestHead("pay", "Content-Length: 100") + "half"
		sidecar.write(sidecar.dial(), partial[:len(partial)-bytesIntoHead*(i%2)]) // ends in the body and head in turn
		if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
			t.Fatalf("after %d incomplete requests: got status %d, want 200", i, resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
}

// TestActiveClientOutlivesStalledOnes guards against the failure that the sidecar closes a slow client instead of
// stalled ones, because the slow one has been connected for longer. A client that keeps writing must be served, however
// long it takes and however many stalled clients there are.
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
			t.Fatalf("client beside the slow one: got status %d, want 200", resp.StatusCode)
		}
		sidecar.client.CloseIdleConnections()
	}
	sidecar.expectResponse(slow, "slow client", http.StatusOK)
}

// TestStalledClientTimeout guards against connections that stay open forever because the client sends nothing or stops
// within its request. Such a client must get an error response or a close in time, and no part of its request may reach
// an endpoint.
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
				t.Errorf("got response %q, error %v, want an error status or a close", got, err)
			}
			minTime, maxTime := downstream.SilenceGracePeriod, sidecartest.Timeout/2
			if elapsed := time.Since(start); elapsed < minTime || elapsed > maxTime {
				t.Errorf("got a close after %v, want it after %v to %v", elapsed, minTime, maxTime)
			}
		})
	}
	t.Cleanup(func() {
		if got := server.Requests(); len(got) != 0 {
			t.Errorf("got %d incomplete requests at the endpoint, want 0", len(got))
		}
	})
}
