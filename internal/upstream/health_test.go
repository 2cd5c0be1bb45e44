package upstream

import (
	"context"
	"strings"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/sidecartest"
)

// TestHealthCheck checks the path that a health check requests, and its outcome for a healthy and for an unhealthy
// endpoint.
func TestHealthCheck(t *testing.T) {
	server := sidecartest.NewScriptedServer(t,
		sidecartest.Respond(200, "TEXT util=0.5, qps=12"), sidecartest.Respond(503, ""))
	client := newTestClient(t, testMaxConns)
	outcome := client.CheckHealth(context.Background(), newEndpoint(server.Addr))
	if outcome.Result != balance.OK ||
		len(outcome.LoadReport) != 2 || outcome.LoadReport[0] != 0.5 || outcome.LoadReport[1] != 12 {
		t.Errorf("healthy server: got %+v, want result %v and load report [0.5 12]", outcome, balance.OK)
	}
	outcome = client.CheckHealth(context.Background(), newEndpoint(server.Addr))
	if outcome.Result != balance.ServerError {
		t.Errorf("unhealthy server: got %+v, want result %v", outcome, balance.ServerError)
	}
	if got := server.Requests()[0]; got.URL.Path != "/metrics/load" {
		t.Errorf("got a request for %s, want /metrics/load", got.URL.Path)
	}
}

// TestLongResponseToHealthCheckIsNotBuffered guards against memory that grows with the number of health checks: of a response that
// is too long for a load report, only the first part is read, and the connection is not used again.
func TestLongResponseToHealthCheckIsNotBuffered(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "TEXT util=0.5, qps=12"+strings.Repeat(" ", 60<<10)))
	client := newTestClient(t, testMaxConns)
	for range 2 {
		outcome := client.CheckHealth(t.Context(), newEndpoint(server.Addr))
		if outcome.Result != balance.OK || outcome.LoadReport != nil {
			t.Errorf("got result %v, load report %v; want %v without a report", outcome.Result, outcome.LoadReport, balance.OK)
		}
	}
	if got := server.ConnCount(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// TestDrainWhileConnectingPreventsHealthCheck checks that no health check is sent to an endpoint that begins to drain
// while the connection is being opened.
func TestDrainWhileConnectingPreventsHealthCheck(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, testMaxConns)
	endpoint := newEndpoint(server.Addr)
	client.pool.afterDial = func() { endpoint.Closed.Store(true) }
	outcome := client.CheckHealth(t.Context(), endpoint)
	if outcome.Result != balance.NotAttempted || len(server.Requests()) > 0 {
		t.Errorf("got result %v (%d), and the server received %d requests; want %v (%d) and 0 requests",
			outcome.Result, outcome.Result, len(server.Requests()), balance.NotAttempted, balance.NotAttempted)
	}
}
