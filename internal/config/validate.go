package config

import (
	"fmt"
	"net"
	"net/netip"
)

// validate checks all fields except those that come from the settings.
func (c *Config) validate() error {
	if err := validateAddress(keyListen, c.Listen); err != nil {
		return err
	}
	if c.AdminListen != "" {
		if err := validateAddress(keyAdminListen, c.AdminListen); err != nil {
			return err
		}
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return &KeyError{Key: keyDiscovery, Err: fmt.Errorf("got %q, want host and port: %w", c.Discovery, err)}
	}
	if err := c.Limits.validate(); err != nil {
		return err
	}
	if err := c.KnownEndpoints.Validate(); err != nil {
		return &KeyError{Key: keyKnownEndpoints, Err: err}
	}
	return nil
}

// validateAddress checks that an address to listen on is a numeric IP address and a port.
func validateAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &KeyError{Key: key, Err: fmt.Errorf("got %q, want a numeric IP address and a port: %w", address, err)}
	}
	return nil
}

// validate checks the limits. Defaults must already be filled in.
func (l Limits) validate() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return &KeyError{Key: keyLimits, Err: fmt.Errorf(
			"got cores %v, memory_mb %v and sockets %d, want no negative number", l.Cores, l.MemoryMB, l.Sockets)}
	}
	if l.Sockets < MinSockets {
		return &KeyError{Key: keySockets, Err: fmt.Errorf("got %d, want at least %d", l.Sockets, MinSockets)}
	}
	return nil
}
