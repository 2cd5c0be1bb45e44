package discovery

import (
	"context"
	"net"

	"cindersaddle/internal/config"
	"cindersaddle/internal/membership"
)

// Observer is notified of lists and failed calls. Its methods are called on the goroutine of Run.
type Observer interface {
	// ListReceived is called with each valid list, complete or with changes only. source is the address that sent it.
	ListReceived(list *membership.EndpointList, source string)
	// ListFailed is called with the error of a failed call, which is a *CallError.
	ListFailed(err error)
}

// mode is the mode of discovery; see the package comment.
type mode int

const (
	agentMode  mode = iota // calls go to an agent on this machine, to which the list is pushed
	polledMode             // calls go to a remote service, when the balancer requests them
)

// Watcher receives the endpoint list, and the changes to it, from one address of discovery at a time.
type Watcher struct {
	// Dial opens the connections to discovery. It may be replaced before Run is called.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mode           mode
	timeouts       callTimeouts
	client         *client
	observer       Observer
	address        currentAddress
	watchRequested chan struct{} // buffered for one value, which is a pending request of the balancer

	// The fields below are owned by Run.

	listState      listState
	addressChanged bool // the address has changed since Run was called
}

// NewWatcher returns a Watcher for the configured address. It continues from the list in the configuration, if that is
// complete.
func NewWatcher(cfg *config.Config, observer Observer) *Watcher {
	w := &Watcher{
		Dial:           (&net.Dialer{}).DialContext,
		mode:           polledMode,
		timeouts:       polledTimeouts(),
		observer:       observer,
		address:        currentAddress{address: cfg.Discovery},
		watchRequested: make(chan struct{}, 1),
		listState:      listState{revision: cfg.KnownEndpoints.Revision, hasList: cfg.KnownEndpoints.Complete},
	}
	if !cfg.Balance.PolledDiscovery {
		w.mode = agentMode
		w.timeouts = agentTimeouts(cfg.Balance.DrainGrace.Duration())
		w.listState.mayHaveMissedChanges = true // a new process has no open watch, and the agent may be unresponsive
	}
	w.client = newClient(w.dial, w.timeouts.dialTimeout())
	return w
}

// dial opens a connection with the current value of Dial, which may have been replaced after the client was created.
func (w *Watcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return w.Dial(ctx, network, address)
}

// RequestWatch starts a watch in polled mode. If calls are already being made, the request takes effect when they have
// ended with a failure. While a request is pending, another one has no effect. RequestWatch does not block.
func (w *Watcher) RequestWatch() {
	select {
	case w.watchRequested <- struct{}{}:
	default:
	}
}

// SetAddress switches to another address at once. An open call to the previous one is cancelled, and its list is
// dropped.
func (w *Watcher) SetAddress(address string) { w.address.set(address) }
