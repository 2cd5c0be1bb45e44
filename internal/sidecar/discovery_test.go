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
// server is used, and no longer once it drains.
func TestFollowsDiscoveryUpdates(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	sidecar := startSidecar(t, sidecartest.Config(t))
	if resp, err := sidecar.client.Get("http://" + sidecar.addr + "/up"); err != nil || resp.StatusCode != 503 {
		t.Fatalf("/up without servers: response %v, error %v", resp, err)
	}
	update := func(list membership.EndpointList) {
		t.Helper()
		sidecartest.Next(t, sidecar.discovery.Queries)
		sidecar.discovery.Lists <- list
	}
	update(membership.EndpointList{Revision: 42, Complete: true, Members: []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", firstServer.Addr)}})
	sidecartest.Next(t, sidecar.discovery.Queries) // the previous list has reached the event loop
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Errorf("served by %q", body)
	}
	draining := sidecartest.ReadyEndpoint("s-1", firstServer.Addr)
	draining.Phase = "draining"
	sidecar.discovery.Lists <- membership.EndpointList{Revision: 43, Members: []membership.Endpoint{draining, sidecartest.ReadyEndpoint("s-2", secondServer.Addr)}}
	sidecartest.Next(t, sidecar.discovery.Queries)
	for range 3 {
		if _, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("served by %q", body)
		}
	}
}

// TestReadyWithoutDiscoveryResponse checks that a process is ready in time with the endpoint list of its configuration
// when discovery does not answer: nine of ten processes have to be ready within 10 s, and a fleet that restarts at once
// may keep discovery busy for longer.
func TestReadyWithoutDiscoveryResponse(t *testing.T) {
	for name, subscribe := range map[string]bool{"pushed": false, "polled": true} {
		t.Run(name, func(t *testing.T) {
			server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
			cfg := withAdmin(sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
			cfg.Balance.PolledDiscovery, cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex = subscribe, 350, 349
			sidecar := startSidecar(t, cfg) // discovery answers no request
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

// largeFleetSize is the largest number of servers that a sidecar is expected to know.
const largeFleetSize = 1024

// TestLargeFleet checks that one of 1,024 sidecars applies an indented endpoint list of 1,024 servers and serves requests
// of different objects.
func TestLargeFleet(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	cfg := withAdmin(sidecartest.Config(t))
	cfg.Balance.PolledDiscovery, cfg.Balance.InstanceCount, cfg.Balance.InstanceIndex, cfg.Balance.KeyCaching = false, 1024, 1023, true
	sidecar := startSidecar(t, cfg)
	text, err := json.MarshalIndent(sidecartest.NumberedEndpoints(largeFleetSize, server.Addr), "    ", "    ")
	if err != nil {
		t.Fatal(err)
	}
	sidecar.discovery.RawLists <- text
	sidecartest.WaitFor(t, "all servers are known", func() bool { return sidecar.metric("members") == fmt.Sprint(largeFleetSize) })
	for i := range 50 {
		request := sidecar.newRequest("read")
		request.Header.Set("X-Object", fmt.Sprintf("%x", i))
		if resp, body := sidecar.do(request); resp.StatusCode != 200 || body != "served" {
			t.Fatalf("object %d: status %d, body %q", i, resp.StatusCode, body)
		}
	}
}
