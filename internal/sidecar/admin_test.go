package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/admin"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
)

// TestMetricsCountRequests checks that the counters of results and attempts match the requests that the endpoint received and
// the responses of the clients, and that a request which is not valid is not counted.
func TestMetricsCountRequests(t *testing.T) {
	server := sidecartest.NewScriptedServer(t,
		sidecartest.Respond(200, "ok"),
		sidecartest.Respond(500, ""),
		sidecartest.Respond(503, "", "X-Never-Ran: 1"),
		sidecartest.Respond(200, "ok"),
	)
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))))
	if got := sidecar.resultCounts("read") + " " + sidecar.resultCounts("pay") + " " + sidecar.metric("upstream_requests_total"); got != "0 0 0 0 0 0 0" {
		t.Errorf("counters at the start: %s, want only zeros", got)
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Fatalf("read: status %d, want 200", resp.StatusCode)
	}
	sidecar.do(sidecar.newRequest("pay")) // it may have been executed, so that it counts as failed
	request := sidecar.newRequest("pay")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	if resp, _ := sidecar.do(request); resp.StatusCode != 503 { // it was never executed, so that it counts as rejected
		t.Fatalf("request that was never executed: status %d, want 503", resp.StatusCode)
	}
	bad := sidecar.newRequest("pay")
	bad.Header.Set("X-Customer", "x")
	sidecar.do(bad) // not valid, so that it is not counted
	for name, want := range map[string]string{"read": "1 0 0", "pay": "0 1 1", "reserve": "0 0 0"} {
		if got := sidecar.resultCounts(name); got != want {
			t.Errorf("%s: completed, rejected and failed requests are %s, want %s", name, got, want)
		}
	}
	if got := sidecar.metric("upstream_requests_total"); got != fmt.Sprint(len(server.Requests())) {
		t.Errorf("%s attempts are counted, the server received %d", got, len(server.Requests()))
	}
	if got := sidecar.metric("pending"); got != "0" {
		t.Errorf("%s requests are pending at the end, want 0", got)
	}
}

// TestMetricsCountPendingRequests checks that a request is pending until it ends, also when its client disconnects, and
// that a request whose client disconnected has no result.
func TestMetricsCountPendingRequests(t *testing.T) {
	gate := sidecartest.NewGate()
	defer gate.Open()
	sidecar, _ := startWithEndpointAndAdmin(t, gate.Hold(sidecartest.Respond(200, "held")))
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	if got := sidecar.metric("pending"); got != "1" {
		t.Errorf("%s requests are pending, want 1", got)
	}
	conn.Close()
	sidecar.waitForPending(0)
	if got := sidecar.resultCounts("read"); got != "0 0 0" {
		t.Errorf("results after the client disconnected: %s, want none", got)
	}
}

// TestMetricsCountEndpoints checks that a draining endpoint is counted as an endpoint and as unavailable.
func TestMetricsCountEndpoints(t *testing.T) {
	draining := sidecartest.DrainingEndpoint("s-2", "127.0.0.1:2")
	cfg := sidecartest.Config(t,
		sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"),
		draining,
		sidecartest.ReadyEndpoint("s-3", "127.0.0.1:3"),
	)
	sidecar := startSidecar(t, withAdmin(cfg))
	sidecartest.WaitFor(t, "the endpoint list is applied", func() bool { return sidecar.metric("members") == "3" })
	if got := sidecar.metric("members_unavailable"); got != "1" {
		t.Errorf("%s endpoints are unavailable, want 1", got)
	}
}

// TestAdminRejectsBadRequests checks the status for unknown paths, wrong methods and malformed requests at the admin
// address, and that it does not serve the API of the clients.
func TestAdminRejectsBadRequests(t *testing.T) {
	sidecar, _ := startWithEndpointAndAdmin(t, sidecartest.Respond(200, ""))
	sidecar.waitUntilReady()
	for _, test := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/api/ready", 200}, {"GET", "/api/telemetry", 200}, {"POST", "/api/ready", 405},
		{"PUT", "/api/telemetry", 405}, {"GET", "/api", 404}, {"GET", "/up", 404}, {"POST", "/", 404},
	} {
		if resp, _ := sidecar.callAdmin(test.method, test.path); resp.StatusCode != test.want || !resp.Close {
			t.Errorf("%s %s: status %d, closing: %v", test.method, test.path, resp.StatusCode, resp.Close)
		}
	}
	for _, text := range []string{"\x00\x01\r\n\r\n", "GET\r\n\r\n", "GET /api/ready HTTP/1.1\r\nHost\r\n\r\n"} {
		conn := sidecar.dialAddr(sidecar.adminAddr)
		sidecar.write(conn, text)
		if got, _ := io.ReadAll(conn); !strings.HasPrefix(string(got), "HTTP/1.1 400") {
			t.Errorf("%q: response %q, want status 400", text, got)
		}
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Errorf("client address: status %d, want 200", resp.StatusCode)
	}
}

// TestAdminServesBesideIdleConnections tests the failure in which clients open more connections to the admin address than it
// allows, and send no complete request. A health check behind them would get its response only when they time out.
// It must get its response before.
func TestAdminServesBesideIdleConnections(t *testing.T) {
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"))))
	sidecar.waitUntilReady()
	for i := range 5 * admin.MaxConns {
		conn := sidecar.dialAddr(sidecar.adminAddr)
		sidecar.write(conn, "GET /api/ready HTTP/1.1\r\nX-Ha"[:i%25])
	}
	start := time.Now()
	if resp, _ := sidecar.callAdmin("GET", "/api/ready"); resp.StatusCode != 200 {
		t.Errorf("GET /api/ready: status %d, want 200", resp.StatusCode)
	}
	if elapsed := time.Since(start); elapsed >= admin.HeaderTimeout {
		t.Errorf("response after %v, when the idle connections had timed out", elapsed)
	}
}

// TestReadiness checks that a process is ready once it knows endpoints, and not ready during its shutdown.
func TestReadiness(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t, gate.Hold(sidecartest.Respond(200, "held")))
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t)))
	if resp, _ := sidecar.callAdmin("GET", "/api/ready"); resp.StatusCode != 503 {
		t.Errorf("ready without endpoints: status %d, want 503", resp.StatusCode)
	}
	sidecartest.Next(t, sidecar.discovery.Queries)
	sidecar.discovery.Lists <- sidecartest.CompleteList(42, sidecartest.ReadyEndpoint("s-1", server.Addr))
	sidecartest.Next(t, sidecar.discovery.Queries)
	sidecar.waitUntilReady()
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	sidecar.shutdown()
	sidecartest.WaitFor(t, "the sidecar is not ready", func() bool {
		resp, _ := sidecar.callAdmin("GET", "/api/ready")
		return resp.StatusCode == 503
	})
	gate.Open()
	sidecar.expectResponse(conn, "pending request", http.StatusOK)
}
