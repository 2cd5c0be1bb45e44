// Package sidecartest contains helpers that the tests of several packages share: scripted servers, a discovery service
// whose responses the test provides, a dialer for unreachable servers, configurations, endpoint lists, and waits with a
// timeout. A helper that gets a *testing.T fails the test if it cannot do its work.
package sidecartest
