// Package sidecartest has what the tests of several packages share: scripted servers, a discovery service that responds as
// a test says, a dialer for unreachable servers, configurations and endpoint lists, and waits with a bound. A helper that
// fails ends its test.
package sidecartest
