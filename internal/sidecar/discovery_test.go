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

// TestFollowsDiscoveryUpdates checks that a complete endpoint list and an update of it each apply to the next request:
// the sidecar sends requests to the listed endpoint, and stops when the endpoint drains.
func TestFollowsDiscoveryUpdates(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	sidecar := startSidecar(t, sidecartest.Config(t))
	if resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up"); err != nil || resp.StatusCode != 503 {
		t.Fatalf("/up without endpoints: got response %v, error %v, want status 503", resp, err)
	}
	update := func(list membership.EndpointList) {
		t.Helper()
		sidecartest.Next(t, sidecar.discovery.Queries)
		sidecar.discovery.Lists <- list
	}
	update(sidecartest.CompleteList(42, sidecartest.ReadyEndpoint("s-1", firstServer.Addr)))
	sidecartest.Next(t, sidecar.discovery.Queries) // the list has reached the event loop
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Errorf("got the response of endpoint %q, want %q", body, "one")
	}
	draining := sidecartest.DrainingEndpoint("s-1", firstServer.Addr)
	sidecar.discovery.Lists <- sidecartest.ListUpdate(43, draining, sidecartest.ReadyEndpoint("s-2", secondServer.Addr))
	sidecartest.Next(t, sidecar.discovery.Queries)
	for range 3 {
		if _, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("got the response of endpoint %q, want %q", body, "two")
		}
	}
}

// maxReadyTime is half of the 10 s in which a new process must be ready.
const maxReadyTime = 5 * time.Second

// TestReadyWithoutDiscoveryResponse guards against a process that does not get ready because discovery does not
// respond, for example when a whole fleet restarts. The process must be ready well within 10 s, with the endpoint list
// of its configuration.
func TestReadyWithoutDiscoveryResponse(t *testing.T) {
	for name, polled := range map[string]bool{"watched": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
			cfg := withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
			cfg.Balance.PolledDiscovery = polled
			cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex = 350, 349
			sidecar := startSidecar(t, cfg) // discovery does not respond
			start := time.Now()
			sidecar.waitUntilReady()
			resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up")
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("/up: got response %v, error %v, want status 200", resp, err)
			} else {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if _, body := sidecar.do(sidecar.newRequest("read")); body != "served" {
				t.Errorf("got response %q, want %q", body, "served")
			}
			if elapsed := time.Since(start); elapsed > maxReadyTime {
				t.Errorf("got ready after %v, want at most %v", elapsed, maxReadyTime)
			}
		})
	}
}

// maxFleetSize is the largest number of endpoints, and also of sidecars, that a fleet is expected to have.
const maxFleetSize = 1024

// TestLargeFleet checks that one of maxFleetSize sidecars applies an indented endpoint list of maxFleetSize endpoints,
// and serves requests for different objects.
func TestLargeFleet(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := withAdmin(sidecartest.Config(t))
	cfg.Balance.PolledDiscovery, cfg.Balance.KeyCaching = false, true
	cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex = maxFleetSize, maxFleetSize-1
	sidecar := startSidecar(t, cfg)
	text, err := json.MarshalIndent(sidecartest.NumberedEndpoints(maxFleetSize, server.Addr), "    ", "    ")
	if err != nil {
		t.Fatal(err)
	}
	sidecar.discovery.RawLists <- text
	sidecartest.WaitFor(t, "all endpoints are known", func() bool {
		return sidecar.metric("members") == fmt.Sprint(maxFleetSize)
	})
	for i := range 50 {
		request := sidecar.newRequest("read")
		request.Header.Set("X-Object", fmt.Sprintf("%x", i))
		if resp, body := sidecar.do(request); resp.StatusCode != 200 || body != "served" {
			t.Fatalf("object %d: got status %d, body %q, want 200, \"served\"", i, resp.StatusCode, body)
		}
	}
}
