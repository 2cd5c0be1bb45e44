package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestFollowsDiscoveryUpdates checks that each endpoint list and each change of it applies to the next request: the first
// endpoint is used, and no longer once it drains.
func TestFollowsDiscoveryUpdates(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	sidecar := startSidecar(t, sidecartest.Config(t))
	if resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up"); err != nil || resp.StatusCode != 503 {
		t.Fatalf("/up without endpoints: response %v, error %v", resp, err)
	}
	update := func(list membership.EndpointList) {
		t.Helper()
		sidecartest.Next(t, sidecar.discovery.Queries)
		sidecar.discovery.Lists <- list
	}
	update(sidecartest.CompleteList(42, sidecartest.ReadyEndpoint("s-1", firstServer.Addr)))
	sidecartest.Next(t, sidecar.discovery.Queries) // the previous list has reached the event loop
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Errorf("served by %q", body)
	}
	draining := sidecartest.DrainingEndpoint("s-1", firstServer.Addr)
	sidecar.discovery.Lists <- sidecartest.ListUpdate(43, draining, sidecartest.ReadyEndpoint("s-2", secondServer.Addr))
	sidecartest.Next(t, sidecar.discovery.Queries)
	for range 3 {
		if _, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("served by %q", body)
		}
	}
}

// TestReadyWithoutDiscoveryResponse tests the failure in which discovery does not respond to a process that starts, as in the
// restart of a whole fleet. The process must be ready well within 10 s, with the endpoint list of its configuration.
func TestReadyWithoutDiscoveryResponse(t *testing.T) {
	for name, polled := range map[string]bool{"watched": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
			cfg := withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
			cfg.Balance.PolledDiscovery, cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex = polled, 350, 349
			sidecar := startSidecar(t, cfg) // discovery does not respond
			start := time.Now()
			sidecar.waitUntilReady()
			if resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up"); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("/up: response %v, error %v", resp, err)
			} else {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if _, body := sidecar.do(sidecar.newRequest("read")); body != "served" {
				t.Errorf("response %q, want %q", body, "served")
			}
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("ready after %v", elapsed)
			}
		})
	}
}

// largeFleetSize is the largest number of endpoints, and of sidecars, that is expected.
const largeFleetSize = 1024

// TestLargeFleet checks that one of largeFleetSize sidecars applies an indented endpoint list of largeFleetSize endpoints and serves requests
// of different objects.
func TestLargeFleet(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := withAdmin(sidecartest.Config(t))
	cfg.Balance.PolledDiscovery, cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex, cfg.Balance.KeyCaching = false, largeFleetSize, largeFleetSize-1, true
	sidecar := startSidecar(t, cfg)
	text, err := json.MarshalIndent(sidecartest.NumberedEndpoints(largeFleetSize, server.Addr), "    ", "    ")
	if err != nil {
		t.Fatal(err)
	}
	sidecar.discovery.RawLists <- text
	sidecartest.WaitFor(t, "all endpoints are known", func() bool { return sidecar.metric("members") == fmt.Sprint(largeFleetSize) })
	for i := range 50 {
		request := sidecar.newRequest("read")
		request.Header.Set("X-Object", fmt.Sprintf("%x", i))
		if resp, body := sidecar.do(request); resp.StatusCode != 200 || body != "served" {
			t.Fatalf("object %d: status %d, body %q", i, resp.StatusCode, body)
		}
	}
}
