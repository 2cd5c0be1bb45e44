package upstream

import (
	"context"
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/sidecartest"
)

// TestHealthCheck checks the path of a health check, and its results for an endpoint that is healthy and one that is not.
func TestHealthCheck(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "TEXT util=0.5, qps=12"), sidecartest.Respond(503, ""))
	client := newTestClient(t, 500)
	outcome := client.CheckHealth(context.Background(), newEndpoint(server.Addr))
	if outcome.Result != balance.OK || len(outcome.LoadReport) != 2 || outcome.LoadReport[0] != 0.5 || outcome.LoadReport[1] != 12 {
		t.Errorf("healthy server: got %+v, want a report of 0.5 and 12", outcome)
	}
	if outcome := client.CheckHealth(context.Background(), newEndpoint(server.Addr)); outcome.Result != balance.ServerError {
		t.Errorf("unhealthy server: got %+v, want a server error", outcome)
	}
	if got := server.Requests()[0]; got.URL.Path != "/metrics/load" {
		t.Errorf("the request was for %s, want /metrics/load", got.URL.Path)
	}
}

// TestDrainWhileConnectingPreventsHealthCheck checks that an endpoint gets no health check if it begins to drain while the connection
// for it is being opened.
func TestDrainWhileConnectingPreventsHealthCheck(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, ""))
	client := newTestClient(t, 500)
	endpoint := newEndpoint(server.Addr)
	client.pool.afterDial = func() { endpoint.Closed.Store(true) }
	if outcome := client.CheckHealth(t.Context(), endpoint); outcome.Result != balance.NotAttempted || len(server.Requests()) > 0 {
		t.Errorf("outcome %d, and the server received %d requests; want %d and 0", outcome.Result, len(server.Requests()), balance.NotAttempted)
	}
}
