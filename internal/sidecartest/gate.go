package sidecartest

import (
	"net"
	"sync"
	"testing"
)

// Gate holds the responses of a server back until a test opens it.
type Gate struct {
	held   chan struct{} // a value for each request that reaches the gate
	opened chan struct{} // closed by Open
	open   func()
}

// NewGate returns a gate that is closed.
func NewGate() *Gate {
	gate := &Gate{held: make(chan struct{}, eventBacklog), opened: make(chan struct{})}
	gate.open = sync.OnceFunc(func() { close(gate.opened) })
	return gate
}

// Hold returns a step that waits until the gate is open, and then runs another one.
func (gate *Gate) Hold(step Step) Step {
	return func(conn net.Conn) bool {
		gate.held <- struct{}{}
		<-gate.opened
		return step(conn)
	}
}

// AwaitRequest waits until one more request has reached the gate.
func (gate *Gate) AwaitRequest(t *testing.T) {
	t.Helper()
	Next(t, gate.held)
}

// Open lets the requests at the gate and all later ones pass. It may be called more than once.
func (gate *Gate) Open() { gate.open() }
