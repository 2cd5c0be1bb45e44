package sidecartest

import (
	"fmt"
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

// Config returns the configuration of ConfigPath with the given servers as the known ones. A shutdown does not wait for
// new connections, and connections to servers need no rest between two requests.
func Config(t *testing.T, servers ...membership.Endpoint) *config.Config {
	t.Helper()
	text, err := os.ReadFile(ConfigPath())
	if err != nil {
		t.Fatalf("read the configuration: %v", err)
	}
	cfg, err := config.Parse(text, EmptyEnvironment)
	if err != nil {
		t.Fatalf("parse the configuration: %v", err)
	}
	cfg.KnownEndpoints.Members = servers
	cfg.AcceptDuringShutdown = 0
	cfg.ConnReuseDelay = 0
	return cfg
}

// ReadyEndpoint returns an endpoint that accepts requests at an address.
func ReadyEndpoint(id, addr string) membership.Endpoint {
	return membership.Endpoint{
		ID:       id,
		HostPort: addr,
		Locality: "room-1",
		Flavor:   "small",
		Cell:     1,
		Phase:    "ready",
		Size:     1,
	}
}

// idFactor is a prime that spreads the numbers of endpoints over the digits of their IDs.
const idFactor = 2654435761

// NumberedEndpoints returns an endpoint list of count servers at one address, with IDs of the usual length.
func NumberedEndpoints(count int, addr string) membership.EndpointList {
	list := membership.EndpointList{Revision: 42, Complete: true}
	for i := range count {
		endpoint := ReadyEndpoint(fmt.Sprintf("s-%08x", i*idFactor), addr)
		endpoint.Cell = i / 2
		endpoint.Locality = fmt.Sprintf("room-%d", 1+i%2)
		list.Members = append(list.Members, endpoint)
	}
	return list
}
