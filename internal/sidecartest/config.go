package sidecartest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// EmptyEnvironment stands in for os.Getenv where no variable is set.
func EmptyEnvironment(string) string { return "" }

// ConfigPath returns the path of the configuration file on which the tests build.
func ConfigPath() string {
	_, thisFile, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(thisFile), "..", "config", "testdata", "config.json")
}

// Config returns the configuration of ConfigPath with the given endpoints as the known ones. A shutdown does not wait for
// new connections, and connections to endpoints need no rest between two requests.
func Config(t *testing.T, endpoints ...membership.Endpoint) *config.Config {
	t.Helper()
	text, err := os.ReadFile(ConfigPath())
	if err != nil {
		t.Fatalf("read the configuration: %v", err)
	}
	cfg, err := config.Parse(text, EmptyEnvironment)
	if err != nil {
		t.Fatalf("parse the configuration: %v", err)
	}
	cfg.KnownEndpoints.Members = endpoints
	cfg.AcceptDuringShutdown = 0
	cfg.ConnReuseDelay = 0
	return cfg
}
