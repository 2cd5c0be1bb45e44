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

// TestReloadChangesDiscovery checks that a reload switches the sidecar to another discovery service: the watch at the
// previous one is cancelled, and the complete list of the new one applies. An invalid file changes nothing.
func TestReloadChangesDiscovery(t *testing.T) {
	firstServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "one"))
	secondServer := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "two"))
	file := newConfigFile(t)
	cfg := file.load(nil)
	cfg.KnownEndpoints.Endpoints = []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", firstServer.Addr)}
	cfg.AcceptDuringShutdown = 0
	sidecar := startSidecar(t, cfg)
	sidecartest.Next(t, sidecar.discovery.Queries) // the watch at the previous address
	file.write("{")
	sidecar.reloads <- syscall.SIGHUP
	if _, body := sidecar.do(sidecar.newRequest("read")); body != "one" {
		t.Errorf("after an invalid file: got the response of endpoint %q, want %q", body, "one")
	}
	other := sidecartest.NewDiscoveryServer(t)
	file.setDiscovery(other.Addr)
	sidecar.reloads <- syscall.SIGHUP // handled after the invalid file
	if got := sidecartest.Next(t, other.Queries); got != "" {
		t.Errorf("first request at the new address: got query %q, want none", got)
	}
	sidecartest.Next(t, sidecar.discovery.Cancelled)
	other.Lists <- sidecartest.CompleteList(3, sidecartest.ReadyEndpoint("s-2", secondServer.Addr))
	if got, want := sidecartest.Next(t, other.Queries), "from=3&hold_ms=1200"; got != want {
		t.Errorf("second request at the new address: got query %q, want %q", got, want)
	}
	for range 3 {
		if _, body := sidecar.do(sidecar.newRequest("read")); body != "two" {
			t.Errorf("got the response of endpoint %q, want %q", body, "two")
		}
	}
	sidecar.shutdown()
	sidecar.reloads <- syscall.SIGHUP // ignored during the shutdown
}

// TestReloadChangesSettings checks that the classes of a new file apply to later requests. Pending requests keep the
// settings with which they were admitted, even if their class no longer exists.
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
		t.Errorf("class of the new file before the reload: got status %d, want 400", resp.StatusCode)
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
	if firstStatus+secondStatus != 200+502 { // only the request of class read may be retried
		t.Errorf("pending requests: got status %d and %d, want 200 and 502 in any order", firstStatus, secondStatus)
	}
	checkReloadedClasses(t, sidecar)
}

// checkReloadedClasses checks that the classes of the new file apply to later requests.
func checkReloadedClasses(t *testing.T, sidecar *testSidecar) {
	t.Helper()
	for _, test := range []struct {
		templateClass, class string
		want                 int
	}{
		{"read", "pay-2", 200}, {"read", "pay", 200}, {"pay", "pay", 405}, {"read", "read", 400}, {"reserve", "reserve", 200},
	} {
		resp, _ := sidecar.do(sidecar.newRequestForClass(test.templateClass, test.class))
		if resp.StatusCode != test.want {
			t.Errorf("request of class %s in the form of class %s: got status %d, want %d",
				test.class, test.templateClass, resp.StatusCode, test.want)
		}
	}
	want := "1 0 0, 1 0 0"
	if got := sidecar.resultCounts("pay-2") + ", " + sidecar.resultCounts("read"); got != want {
		t.Errorf("completed, rejected and failed requests of the classes pay-2 and read: got %s, want %s", got, want)
	}
}

// invalidReplacements are replacements that each make the configuration file invalid.
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

// invalidFiles returns contents of the configuration file that a reload must reject. Those made with
// invalidReplacements also contain the valid replacement, which must not apply either.
func invalidFiles(file *configFile, valid replacement) []string {
	firstHalf := file.originalText[:len(file.originalText)/2]
	contents := []string{"", "{", "null", "[]", "{}", firstHalf, strings.TrimSpace(file.originalText) + "}"}
	for _, invalid := range invalidReplacements {
		contents = append(contents, file.replace(invalid, valid))
	}
	return contents
}

// TestReloadRejectsInvalidFile guards against a reload that applies a part of an invalid configuration file, or of one
// that is not completely written yet. A file with any error must change nothing, not even the address of discovery.
func TestReloadRejectsInvalidFile(t *testing.T) {
	file := newConfigFile(t)
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "ok"))
	cfg := withAdmin(file.load(nil))
	cfg.KnownEndpoints.Endpoints = []membership.Endpoint{sidecartest.ReadyEndpoint("s-1", server.Addr)}
	cfg.AcceptDuringShutdown = 0
	sidecar := startSidecar(t, cfg)
	other := sidecartest.NewDiscoveryServer(t)
	invalid := invalidFiles(file, discoveryReplacement(other.Addr))
	for i, text := range invalid {
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
		return sidecar.metric("config_reload_errors_total") == fmt.Sprint(len(invalid)+1)
	})
	if got := sidecar.metric("config_reloads_total"); got != "0" || len(other.Queries) > 0 {
		t.Errorf("got %s loaded files and %d requests at the discovery service that they name, want 0 and 0",
			got, len(other.Queries))
	}
	if resp, _ := sidecar.do(sidecar.newRequest("read")); resp.StatusCode != 200 {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}

// TestReloadPrefersFileToEnvironment checks that a reload takes the discovery address from the file and not from the
// environment. The environment of a process does not change, so the sidecar could not follow a discovery service that
// moves.
func TestReloadPrefersFileToEnvironment(t *testing.T) {
	file := newConfigFile(t)
	cfg := file.load(map[string]string{"NODE_DISCOVERY": "127.0.0.1:1"})
	if cfg.Discovery != "127.0.0.1:1" {
		t.Errorf("got discovery address %s at the start, want 127.0.0.1:1", cfg.Discovery)
	}
	file.setDiscovery("127.0.0.1:2")
	for range 2 {
		next, err := cfg.Reload()
		if err != nil || next.Discovery != "127.0.0.1:2" {
			t.Fatalf("got reloaded configuration %v, error %v, want discovery address 127.0.0.1:2", next, err)
		}
	}
	file.write("{")
	if _, err := cfg.Reload(); err == nil {
		t.Error("got no error for an invalid file, want one")
	}
}
