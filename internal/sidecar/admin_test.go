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

// TestMetricsCountRequests checks that the result and attempt counters match the responses to clients and the requests
// that the endpoint received. An invalid request is not counted.
func TestMetricsCountRequests(t *testing.T) {
	server := sidecartest.NewScriptedServer(t,
		sidecartest.Respond(200, "ok"),
		sidecartest.Respond(500, ""),
		sidecartest.Respond(503, "", "X-Never-Ran: 1"),
		sidecartest.Respond(200, "ok"),
	)
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr))))
	results := sidecar.resultCounts("read") + " " + sidecar.resultCounts("pay")
	if got := results + " " + sidecar.metric("upstream_requests_total"); got != "0 0 0 0 0 0 0" {
		t.Errorf("counters at the start: got %s, want 0 0 0 0 0 0 0", got)
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Fatalf("read: got status %d, want 200", resp.StatusCode)
	}
	sidecar.do(sidecar.newRequest("pay")) // counts as failed, because it may have been executed
	request := sidecar.newRequest("pay")
	request.Header.Set(exchange.ExpiryHeader, "300m")
	if resp, _ := sidecar.do(request); resp.StatusCode != 503 { // counts as rejected, because it was never executed
		t.Fatalf("request that was never executed: got status %d, want 503", resp.StatusCode)
	}
	invalid := sidecar.newRequest("pay")
	invalid.Header.Set("X-Customer", "x")
	sidecar.do(invalid) // not counted
	for name, want := range map[string]string{"read": "1 0 0", "pay": "0 1 1", "reserve": "0 0 0"} {
		if got := sidecar.resultCounts(name); got != want {
			t.Errorf("%s: got %s completed, rejected and failed requests, want %s", name, got, want)
		}
	}
	if got := sidecar.metric("upstream_requests_total"); got != fmt.Sprint(len(server.Requests())) {
		t.Errorf("got %s counted attempts, want the %d that the server received", got, len(server.Requests()))
	}
	if got := sidecar.metric("pending"); got != "0" {
		t.Errorf("got %s pending requests at the end, want 0", got)
	}
}

// TestMetricsCountPendingRequests checks that a request counts as pending until its client disconnects, and that such a
// request adds to no result counter.
func TestMetricsCountPendingRequests(t *testing.T) {
	gate := sidecartest.NewGate()
	defer gate.Open()
	sidecar, _ := startWithEndpointAndAdmin(t, gate.Hold(sidecartest.Respond(200, "held")))
	conn := sidecar.dial()
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	if got := sidecar.metric("pending"); got != "1" {
		t.Errorf("got %s pending requests, want 1", got)
	}
	conn.Close()
	sidecar.waitForPendingRequests(0)
	if got := sidecar.resultCounts("read"); got != "0 0 0" {
		t.Errorf("after the client disconnected: got %s completed, rejected and failed requests, want 0 0 0", got)
	}
}

// TestMetricsCountEndpoints checks that the metrics count a draining endpoint as an endpoint and as unavailable.
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
		t.Errorf("got %s unavailable endpoints, want 1", got)
	}
}

// TestAdminRejectsBadRequests checks the status for unknown paths, wrong methods and malformed requests at the admin
// address, which does not serve the client API either.
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
			t.Errorf("%s %s: got status %d, close %v, want status %d and a close",
				test.method, test.path, resp.StatusCode, resp.Close, test.want)
		}
	}
	for _, text := range []string{"\x00\x01\r\n\r\n", "GET\r\n\r\n", "GET /api/ready HTTP/1.1\r\nHost\r\n\r\n"} {
		conn := sidecar.dialAddr(sidecar.adminAddr)
		sidecar.write(conn, text)
		if got, _ := io.ReadAll(conn); !strings.HasPrefix(string(got), "HTTP/1.1 400") {
			t.Errorf("%q: got response %q, want status 400", text, got)
		}
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Errorf("client address: got status %d, want 200", resp.StatusCode)
	}
}

// TestAdminServesBesideIdleConnections guards against the failure that clients without a complete request occupy all
// connections of the admin address, so that a health check has to wait until they time out. A health check must get its
// response earlier.
func TestAdminServesBesideIdleConnections(t *testing.T) {
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", "127.0.0.1:1"))))
	sidecar.waitUntilReady()
	for i := range 5 * admin.MaxConns {
		conn := sidecar.dialAddr(sidecar.adminAddr)
		sidecar.write(conn, "GET /api/ready HTTP/1.1\r\nX-Ha"[:i%25])
	}
	start := time.Now()
	if resp, _ := sidecar.callAdmin("GET", "/api/ready"); resp.StatusCode != 200 {
		t.Errorf("GET /api/ready: got status %d, want 200", resp.StatusCode)
	}
	if elapsed := time.Since(start); elapsed >= admin.HeadTimeout {
		t.Errorf("got the response after %v, want less than the timeout %v of idle connections", elapsed, admin.HeadTimeout)
	}
}

// TestReadiness checks that a process is not ready before it knows endpoints and during its shutdown, and ready in
// between.
func TestReadiness(t *testing.T) {
	gate := sidecartest.NewGate()
	server := sidecartest.NewScriptedServer(t, gate.Hold(sidecartest.Respond(200, "held")))
	sidecar := startSidecar(t, withAdmin(sidecartest.Config(t)))
	if resp, _ := sidecar.callAdmin("GET", "/api/ready"); resp.StatusCode != 503 {
		t.Errorf("readiness without endpoints: got status %d, want 503", resp.StatusCode)
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
