package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"cindersaddle/internal/standin"
)

// sidecarPath is the path of the sidecar program as shipped. faultSidecarPath is the path of the program with the fault
// injection of package fault.
var sidecarPath, faultSidecarPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	sidecarPath, err = standin.BuildSidecar(dir, "")
	if err == nil {
		faultSidecarPath, err = standin.BuildSidecar(dir, "faults")
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// testFleet is a set of endpoints with a discovery agent that lists them.
type testFleet struct {
	dir       string // for the files of the sidecars
	discovery *standin.Discovery
}

// startFleet starts count endpoints with the given behavior. They are closed at the end of the test.
func startFleet(t *testing.T, count int, behavior standin.Behavior) *testFleet {
	t.Helper()
	fleet := &testFleet{dir: t.TempDir()}
	var err error
	if fleet.discovery, err = standin.NewDiscovery(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.discovery.Close)
	for number := range count {
		server, err := standin.NewServer("127.0.0.1:0", behavior)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		fleet.discovery.SetEndpoint(readyListEntry(endpointID(number), server.Addr()))
	}
	return fleet
}

// startSidecar starts a sidecar that uses the fleet. It is killed at the end of the test.
func (f *testFleet) startSidecar(t *testing.T, name string, settings any) *standin.Process {
	t.Helper()
	dir := filepath.Join(f.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	process, err := standin.StartProcess(sidecarPath, dir, f.config(t, name, settings))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process
}

// config returns the configuration of a sidecar that uses the fleet.
func (f *testFleet) config(t *testing.T, name string, settings any) standin.ProcessConfig {
	t.Helper()
	listen, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return standin.ProcessConfig{
		Name: name, Listen: listen, Discovery: f.discovery.Addr(), Seed: "8c1f30d27a5be964",
		Limits: standin.ProcessLimits{Cores: 1, MemoryMB: 192, Sockets: 1024}, Known: f.discovery.List(),
		Settings: settings,
	}
}
