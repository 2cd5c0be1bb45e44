package sidecartest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// EmptyEnvironment replaces os.Getenv in tests that set no environment variable. It returns "" for every name.
func EmptyEnvironment(string) string { return "" }

// ConfigPath returns the path of the configuration file that the tests use.
func ConfigPath() string {
	_, thisFile, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(thisFile), "..", "config", "testdata", "config.json")
}

// Config returns the configuration in the file of ConfigPath, with the given endpoints as the known ones. No
// connections are accepted after the shutdown signal, and connections to endpoints are reused without a delay.
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
	cfg.KnownEndpoints.Endpoints = endpoints
	cfg.AcceptDuringShutdown = 0
	cfg.ConnReuseDelay = 0
	return cfg
}
