package sidecartest

import (
	"net"
	"sync"
	"testing"
)

// Gate delays the responses of a ScriptedServer until the test opens it.
type Gate struct {
	requests chan struct{} // receives a value for each request that reaches the gate
	opened   chan struct{} // closed when the gate is opened
	open     func()        // closes opened; safe to call more than once
}

// NewGate returns a closed gate.
func NewGate() *Gate {
	gate := &Gate{requests: make(chan struct{}, eventBacklog), opened: make(chan struct{})}
	gate.open = sync.OnceFunc(func() { close(gate.opened) })
	return gate
}

// Hold returns a step that waits until the gate is open and then runs the given step.
func (gate *Gate) Hold(step Step) Step {
	return func(conn net.Conn) bool {
		gate.requests <- struct{}{}
		<-gate.opened
		return step(conn)
	}
}

// AwaitRequest waits until another request reaches the gate. Each request ends one wait only.
func (gate *Gate) AwaitRequest(t *testing.T) {
	t.Helper()
	Next(t, gate.requests)
}

// Open releases the requests that wait at the gate, and all later ones pass without waiting. It may be called more than
// once.
func (gate *Gate) Open() { gate.open() }
