package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// Discovery is the discovery agent of one sidecar: it responds to polls of the endpoint list and to watches.
type Discovery struct {
	listener net.Listener
	server   *http.Server
	running  sync.WaitGroup

	mu            sync.Mutex
	revision      int64
	endpoints     map[string]membership.Endpoint
	changed       chan struct{} // closed at the next change of the list or of silent
	silent        bool
	delivered     []EndpointChange
	undelivered   []EndpointChange // made while silent
	notifiedAfter time.Time        // no change counts as notified before
}

// NewDiscovery starts an agent with an empty list. It returns an error if it cannot listen.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	d := &Discovery{listener: listener, revision: 1, endpoints: map[string]membership.Endpoint{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serveList)}
	d.running.Go(func() { d.server.Serve(listener) })
	return d, nil
}

// Addr returns the address of the agent.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close ends the agent and its calls.
func (d *Discovery) Close() {
	d.server.Close()
	d.running.Wait()
}

// Set adds or changes a list entry. The sidecar counts as notified from now on, or during an outage from its end on.
func (d *Discovery) Set(endpoint membership.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.endpoints[endpoint.ID] = endpoint
	now := time.Now()
	change := EndpointChange{EndpointID: endpoint.ID, State: endpoint.State(), ReadableAt: now, NotifiedAt: now}
	if d.silent {
		d.undelivered = append(d.undelivered, change)
	} else {
		d.delivered = append(d.delivered, change)
	}
	d.signalLocked()
}

// BeginOutage makes the agent respond to nothing.
func (d *Discovery) BeginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
	d.signalLocked()
}

// EndOutage makes the agent respond again, also to the calls that wait. Changes made during the outage count from now on.
func (d *Discovery) EndOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = false
	for _, change := range d.undelivered {
		change.ReadableAt = time.Now()
		change.NotifiedAt = change.ReadableAt
		d.delivered = append(d.delivered, change)
	}
	d.undelivered = nil
	d.signalLocked()
}

// SetNotifiedAfter sets a time before which no change counts as notified, for a sidecar that does not know this agent yet.
func (d *Discovery) SetNotifiedAfter(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifiedAfter = at
}

// Changes returns the changes that were delivered so far, in their order.
func (d *Discovery) Changes() []EndpointChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := append([]EndpointChange(nil), d.delivered...)
	for i := range changes {
		if changes[i].NotifiedAt.Before(d.notifiedAfter) {
			changes[i].NotifiedAt = d.notifiedAfter
		}
	}
	return changes
}

// List returns the current endpoint list.
func (d *Discovery) List() membership.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

func (d *Discovery) listLocked() membership.EndpointList {
	list := membership.EndpointList{Revision: d.revision, Complete: true, Members: []membership.Endpoint{}}
	for _, endpoint := range d.endpoints {
		if endpoint.State() != balance.Gone {
			list.Members = append(list.Members, endpoint)
		}
	}
	return list
}

// signalLocked wakes the calls that wait.
func (d *Discovery) signalLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}
