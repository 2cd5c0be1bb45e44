// Package config reads the platform's configuration file and the NODE_ environment variables, and checks both.
//
// The caller owns the Config that Load or Parse returns; within this package only UsePredecessor changes it. A reload
// returns a new Config, and CheckReload compares it with the one in use. The package keeps no state and starts no
// goroutines. Limits.Apply and Limits.ApplyMemory change settings of the Go runtime, which affect the whole process.
package config

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

const (
	// DefaultConnReuseDelay is the default of Config.ConnReuseDelay. An endpoint may send surplus bytes after a
	// response, in a separate packet. If they arrived after the next request was written, they would be taken for
	// the response to that request. The delay gives them time to arrive before the connection is used again.
	DefaultConnReuseDelay = 3 * time.Millisecond
	// DefaultAcceptDuringShutdown is the default of Config.AcceptDuringShutdown.
	DefaultAcceptDuringShutdown = 500 * time.Millisecond
)

// Config is the checked configuration of one sidecar.
type Config struct {
	Name           string // name of this instance
	Listen         string // IP address and port to listen on for clients
	AdminListen    string // IP address and port of the admin address (readiness and metrics); empty: none
	Discovery      string // host and port of the discovery service
	Limits         Limits
	KnownEndpoints membership.EndpointList // as listed in the file, which may be out of date

	Balance          balance.Config
	ClassNames       []string       // in the order of Balance.Classes
	ClassIndex       map[string]int // class name to index in Balance.Classes
	TenantNames      []string       // in the order of Balance.Tenants
	TenantIndex      map[string]int // tenant name to index in Balance.Tenants
	ZoneIndex        map[string]int // zone name to the zone's number in package balance
	MachineTypeIndex map[string]int // machine type name to its number in package balance
	LoadReportFields []string       // names of the fields of a load report, in the order of Balance.LoadReportFields

	ScratchDir           string                  // directory that both processes of an upgrade can access; empty: none
	Reload               func() (*Config, error) // reads the file again, without environment overrides; nil after Parse
	ConnReuseDelay       time.Duration           // minimum idle time of an upstream connection between two requests
	AcceptDuringShutdown time.Duration           // how long new connections are accepted after the shutdown signal

	fileDiscovery string         // the discovery address in the file, before environment overrides
	document      map[string]any // the parsed file for CheckReload, without the known endpoints
}

// UsePredecessor applies the discovery address and the endpoint list of the predecessor in an upgrade.
//
// A reload ignores the environment, so the predecessor may have switched from an override in the environment to the
// discovery address in the file. If it uses the address in the file, so does this process. The predecessor's endpoint
// list replaces the one in the file, unless it is empty.
//
// UsePredecessor must be called before any other goroutine uses the configuration.
func (c *Config) UsePredecessor(discovery string, known membership.EndpointList) {
	if discovery != "" && discovery == c.fileDiscovery {
		c.Discovery = discovery
	}
	if len(known.Endpoints) == 0 {
		return
	}
	c.KnownEndpoints = known
	if discovery != c.Discovery {
		c.KnownEndpoints.Complete = false // the revision comes from another discovery service
	}
}
