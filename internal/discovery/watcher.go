package discovery

import (
	"context"
	"net"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// Observer receives what a Watcher learns, on the goroutine of Run.
type Observer interface {
	// ListReceived receives a valid list, complete or of changes, from an address of discovery.
	ListReceived(list *membership.EndpointList, address string)
	// ListFailed receives the error of a failed call, which is a *CallError.
	ListFailed(err error)
}

// mode is the form of discovery.
type mode int

const (
	agentMode  mode = iota // an agent on this machine, to which the list is pushed
	polledMode             // a service that is called when the balancer requests it
)

// Watcher follows the list of endpoints at one address of discovery at a time.
type Watcher struct {
	// Dial opens the connections to discovery. It may be replaced until Run is called.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mode      mode
	timeouts  timeouts
	client    *client
	observer  Observer
	address   currentAddress
	requested chan struct{} // holds one element while the balancer waits for a watch to start

	// The fields below are Run's.

	list           listState
	addressChanged bool // since the start
}

// NewWatcher returns a watcher of the configured address, which starts from the list that the configuration knows.
func NewWatcher(cfg *config.Config, observer Observer) *Watcher {
	w := &Watcher{
		Dial:      (&net.Dialer{}).DialContext,
		mode:      polledMode,
		timeouts:  polledTimeouts(),
		observer:  observer,
		address:   currentAddress{address: cfg.Discovery},
		requested: make(chan struct{}, 1),
		list:      listState{revision: cfg.KnownEndpoints.Revision, synced: cfg.KnownEndpoints.Complete},
	}
	if !cfg.Balance.PolledDiscovery {
		w.mode = agentMode
		w.timeouts = agentTimeouts(cfg.Balance.DrainGrace.Duration())
		w.list.watchBroken = true // a new process has no watch open, and the agent may be unresponsive
	}
	w.client = newClient(w.dial, w.timeouts.dial())
	return w
}

// dial opens a connection by Dial, which may be another one than when the client was built.
func (w *Watcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return w.Dial(ctx, network, address)
}

// RequestWatch starts a watch of polled discovery; if one is open or requested already, the request is for the time
// after it. It does not block.
func (w *Watcher) RequestWatch() {
	select {
	case w.requested <- struct{}{}:
	default:
	}
}

// SetAddress switches to another address at once: open calls to the previous one are cancelled and their lists dropped.
func (w *Watcher) SetAddress(address string) { w.address.set(address) }
