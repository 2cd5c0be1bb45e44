package sidecar

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestReloadChangesDiscovery checks that a reload moves the sidecar to another discovery service: the watch at the former one
// is cancelled, the complete list of the new one applies, and an invalid file changes nothing.
func TestReloadChangesDiscovery(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	file := newConfigFile(t)
	cfg := file.load(nil)
	cfg.KnownEndpoints.Endpoints = []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", firstServer.Addr)}
	cfg.AcceptDuringShutdown = 0
	sidecar := startSidecar(t, cfg)
	sidecartest.Next(t, sidecar.discovery.Queries) // the watch at the former address
	file.write("{")
	sidecar.reloads <- syscall.SIGHUP
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Errorf("after an invalid file: response from endpoint %q, want %q", body, "one")
	}
	other := sidecartest.NewDiscoveryServer(t)
	file.setDiscovery(other.Addr)
	sidecar.reloads <- syscall.SIGHUP // handled after the invalid file
	if got := sidecartest.Next(t, other.Queries); got != "" {
		t.Errorf("first request at the new address: query %q, want none", got)
	}
	sidecartest.Next(t, sidecar.discovery.Cancelled)
	other.Lists <- sidecartest.CompleteList(3, sidecartest.ReadyEndpoint("s-2", secondServer.Addr))
	if got := sidecartest.Next(t, other.Queries); got != "from=3&hold_ms=1200" {
		t.Errorf("second request at the new address: query %q", got)
	}
	for range 3 {
		if _, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("response from endpoint %q, want %q", body, "two")
		}
	}
	sidecar.shutdown()
	sidecar.reloads <- syscall.SIGHUP // ignored during the shutdown
}

// TestReloadChangesSettings checks that the classes of a new file apply to later requests, while pending requests go on
// with the settings that they were admitted with, also where their class no longer exists.
func TestReloadChangesSettings(t *testing.T) {
	gate := sidecartest.NewGate()
	failing := gate.Hold(sidecartest.Respond(500, ""))
	firstServer := sidecartest.NewScriptedServer(t, failing, sidecartest.Respond(200, "ok"))
	secondServer := sidecartest.NewScriptedServer(t, failing, sidecartest.Respond(200, "ok"))
	file := newConfigFile(t)
	cfg := withAdmin(file.load(nil))
	cfg.KnownEndpoints.Endpoints = []membership.Endpoint{
		sidecartest.ReadyEndpoint("s-1", firstServer.Addr),
		sidecartest.ReadyEndpoint("s-2", secondServer.Addr),
	}
	cfg.AcceptDuringShutdown = 0
	sidecar := startSidecar(t, cfg)
	statuses := make(chan int, 2)
	for _, class := range []string{"read", "pay"} {
		request := sidecar.newRequest(class)
		go func() { statuses <- sidecar.sendForStatus(request) }()
		gate.AwaitRequest(t)
	}
	if resp, _ := sidecar.do(sidecar.newRequestForClass("read", "pay-2")); resp.StatusCode != 400 {
		t.Errorf("class of the new file before the reload: status %d, want 400", resp.StatusCode)
	}
	file.write(file.replace(
		replacement{`"name": "read"`, `"name": "pay-2"`},
		replacement{`"max_attempts": 6`, `"max_attempts": 1.0`},
		replacement{`"name": "pay", "effect": "non_idempotent"`, `"name": "pay", "effect": "read_like"`},
	))
	sidecar.reloads <- syscall.SIGHUP
	sidecartest.WaitFor(t, "the file is loaded", func() bool { return sidecar.metric("config_reloads_total") == "1" })
	gate.Open()
	firstStatus, secondStatus := sidecartest.Next(t, statuses), sidecartest.Next(t, statuses)
	if firstStatus+secondStatus != 200+502 { // only the read may be retried
		t.Errorf("pending requests: status %d and %d, want 200 and 502", firstStatus, secondStatus)
	}
	checkReloadedClasses(t, sidecar)
}

// checkReloadedClasses checks that later requests are subject to the classes of the new file.
func checkReloadedClasses(t *testing.T, sidecar *testSidecar) {
	t.Helper()
	for _, test := range []struct {
		class, name string
		want        int
	}{{"read", "pay-2", 200}, {"read", "pay", 200}, {"pay", "pay", 405}, {"read", "read", 400}, {"reserve", "reserve", 200}} {
		if resp, _ := sidecar.do(sidecar.newRequestForClass(test.class, test.name)); resp.StatusCode != test.want {
			t.Errorf("%s in the form of %s: status %d, want %d", test.name, test.class, resp.StatusCode, test.want)
		}
	}
	if got := sidecar.resultCounts("pay-2") + ", " + sidecar.resultCounts("read"); got != "1 0 0, 1 0 0" {
		t.Errorf("completed, rejected and failed requests of both classes are %s", got)
	}
}

// invalidReplacements each make the configuration file invalid.
var invalidReplacements = []replacement{
	{`"hard_limit_ms": 20000`, `"hard_limit_ms": 0`},
	{`"hard_limit_ms": 20000`, `"hard_limit_ms": -5`},
	{`"hard_limit_ms": 20000`, `"hard_limit_ms": "20000"`},
	{`"hard_limit_ms": 20000`, `"hard_limit_ms": null`},
	{`"hard_limit_ms": 20000`, `"hard_limit_ms": 1e999`},
	{`"hard_limit_ms": 20000, `, ``},
	{`"max_attempts": 6`, `"max_attempts": 0`},
	{`"max_attempts": 6`, `"max_attempts": -1`},
	{`"max_attempts": 6`, `"max_attempts": 2.5`},
	{`"max_attempts": 6`, `"max_attempts": null`},
	{`"max_attempts": 6`, `"max_attempts": "6"`},
	{`"max_attempts": 6,`, ``},
	{`"settings"`, `"other"`},
	{`"seed"`, `"other"`},
	{`"limits": {"cancel"`, `"other": {"cancel"`},
	{`"known"`, `"other"`},
	{`"probes": true,`, ``},
	{`"name": "read"`, `"name": ""`},
	{`"name": "read"`, `"name": "pay"`},
	{`"effect": "read_like"`, `"effect": "x"`},
}

// invalidFiles returns contents of the configuration file that must be rejected. Where the file can be parsed, also has been
// replaced in it.
func invalidFiles(file *configFile, also replacement) []string {
	contents := []string{"", "{", "null", "[]", "{}", file.originalText[:len(file.originalText)/2], strings.TrimSpace(file.originalText) + "}"}
	for _, invalid := range invalidReplacements {
		contents = append(contents, file.replace(invalid, also))
	}
	return contents
}

// TestReloadRejectsInvalidFile tests the failure in which SIGHUP comes with a configuration file that is invalid, or only partly
// written. A part of its settings must not apply: a file with any error changes nothing, not even the address of discovery.
func TestReloadRejectsInvalidFile(t *testing.T) {
	file := newConfigFile(t)
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "ok"))
	cfg := withAdmin(file.load(nil))
	cfg.KnownEndpoints.Endpoints = []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", server.Addr)}
	cfg.AcceptDuringShutdown = 0
	sidecar := startSidecar(t, cfg)
	other := sidecartest.NewDiscoveryServer(t)
	bad := invalidFiles(file, discoveryReplacement(other.Addr))
	for i, text := range bad {
		file.write(text)
		sidecar.reloads <- syscall.SIGHUP
		want := fmt.Sprint(i + 1)
		sidecartest.WaitFor(t, "the file is rejected: "+text[:min(len(text), 80)], func() bool {
			return sidecar.metric("config_reload_errors_total") == want
		})
	}
	if err := os.Remove(file.path); err != nil {
		t.Fatal(err)
	}
	sidecar.reloads <- syscall.SIGHUP
	sidecartest.WaitFor(t, "a missing file is rejected", func() bool {
		return sidecar.metric("config_reload_errors_total") == fmt.Sprint(len(bad)+1)
	})
	if got := sidecar.metric("config_reloads_total"); got != "0" || len(other.Queries) > 0 {
		t.Errorf("%s files were loaded, and the discovery service that they name received %d requests", got, len(other.Queries))
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
}

// TestReloadPrefersFileToEnvironment checks that a reload takes the address of the discovery service from the file and not
// from the environment; otherwise the sidecar could not follow a discovery service that moved.
func TestReloadPrefersFileToEnvironment(t *testing.T) {
	file := newConfigFile(t)
	cfg := file.load(map[string]string{"NODE_DISCOVERY": "127.0.0.1:1"})
	if cfg.Discovery != "127.0.0.1:1" {
		t.Errorf("the discovery address at the start is %s", cfg.Discovery)
	}
	file.setDiscovery("127.0.0.1:2")
	for range 2 {
		next, err := cfg.Reload()
		if err != nil || next.Discovery != "127.0.0.1:2" {
			t.Fatalf("reloaded configuration %v, error %v", next, err)
		}
	}
	file.write("{")
	if _, err := cfg.Reload(); err == nil {
		t.Error("an invalid file was loaded")
	}
}
