// Package config reads the platform's configuration file and the NODE_ environment variables, and checks both.
//
// Load and Parse return a Config that their caller owns; only UsePredecessor changes it here. A reload returns a new
// Config, which CheckReload compares with the one in use. The package keeps no state of its own and starts no
// goroutines; only Limits.Apply and Limits.ApplyMemory change the process, through the Go runtime.
package config

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

const (
	// DefaultConnReuseDelay is the default of Config.ConnReuseDelay. An endpoint may send more than the response,
	// in a packet of its own; bytes that arrive after the next request was written would be taken for its response.
	DefaultConnReuseDelay = 3 * time.Millisecond
	// DefaultAcceptDuringShutdown is the default of Config.AcceptDuringShutdown.
	DefaultAcceptDuringShutdown = 500 * time.Millisecond
)

// Config is the checked configuration of one sidecar.
type Config struct {
	Name           string // of this instance
	Listen         string // host and port for clients
	AdminListen    string // host and port for readiness and metrics; empty: none
	Discovery      string // host and port of the discovery service
	Limits         Limits
	KnownEndpoints membership.EndpointList // as listed in the file, which may be out of date

	Balance          balance.Config
	ClassNames       []string       // in the order of Balance.Classes
	ClassIndex       map[string]int // by name, into Balance.Classes
	TenantNames      []string       // in the order of Balance.Tenants
	TenantIndex      map[string]int // by name, into Balance.Tenants
	ZoneIndex        map[string]int // by name, the number of the zone in package balance
	MachineTypeIndex map[string]int // by name, the number of the machine type in package balance
	LoadReportFields []string       // names of the values in a load report, in the order of Balance.LoadReportFields

	ScratchDir           string                  // a directory that both processes of an upgrade see; empty: none
	Reload               func() (*Config, error) // reads the file again, without environment overrides; nil after Parse
	ConnReuseDelay       time.Duration           // how long an upstream connection rests between two requests
	AcceptDuringShutdown time.Duration           // how long new connections are accepted after the shutdown signal

	fileDiscovery string         // the discovery address in the file, before environment overrides
	document      map[string]any // the parsed file, without the known endpoints
}

// UsePredecessor applies what the predecessor process of an upgrade knew, where that is newer than the file: the
// endpoints and, as the environment does not change with a reload, the discovery address that the file names. It must be
// called before any other goroutine uses the configuration.
func (c *Config) UsePredecessor(discovery string, known membership.EndpointList) {
	if discovery != "" && discovery == c.fileDiscovery {
		c.Discovery = discovery
	}
	if len(known.Endpoints) == 0 {
		return
	}
	c.KnownEndpoints = known
	if discovery != c.Discovery {
		c.KnownEndpoints.Complete = false // the revision was issued by another discovery service
	}
}
