// Package endtoend tests the built sidecar as a process of its own, between clients and endpoints on loopback that behave
// badly: they stall, read or write slowly, send large or unusual messages, or leave. The package contains only tests.
package endtoend
