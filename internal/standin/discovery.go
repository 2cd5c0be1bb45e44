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

// Discovery is the discovery agent of one sidecar. It responds to polls and watches of the endpoint list.
type Discovery struct {
	listener   net.Listener
	server     *http.Server
	goroutines sync.WaitGroup

	mu                   sync.Mutex
	revision             int64
	endpoints            map[string]membership.Endpoint
	changed              chan struct{} // closed when the list or inOutage changes next
	inOutage             bool
	deliveredChanges     []EndpointChange
	undeliveredChanges   []EndpointChange // made during the current outage
	earliestNotification time.Time        // the sidecar does not count as notified of any change before this time
}

// NewDiscovery starts a discovery agent with an empty endpoint list. It returns an error if it cannot listen.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	d := &Discovery{
		listener:  listener,
		revision:  1,
		endpoints: map[string]membership.Endpoint{},
		changed:   make(chan struct{}),
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serveList)}
	d.goroutines.Go(func() { d.server.Serve(listener) })
	return d, nil
}

// Addr returns the address of the discovery agent.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the discovery agent and closes the connections of pending requests.
func (d *Discovery) Close() {
	d.server.Close()
	d.goroutines.Wait()
}

// SetEndpoint adds or replaces a list entry. The sidecar counts as notified of the change from now on, or from the end
// of the outage if there is one.
func (d *Discovery) SetEndpoint(endpoint membership.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.endpoints[endpoint.ID] = endpoint
	now := time.Now()
	change := EndpointChange{EndpointID: endpoint.ID, State: endpoint.State(), ReadableAt: now, NotifiedAt: now}
	if d.inOutage {
		d.undeliveredChanges = append(d.undeliveredChanges, change)
	} else {
		d.deliveredChanges = append(d.deliveredChanges, change)
	}
	d.wakeWaitersLocked()
}

// BeginOutage stops all responses until EndOutage is called.
func (d *Discovery) BeginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inOutage = true
	d.wakeWaitersLocked()
}

// EndOutage ends an outage. Pending requests get their responses, and the sidecar counts as notified from now on of the
// changes made during the outage.
func (d *Discovery) EndOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inOutage = false
	for _, change := range d.undeliveredChanges {
		change.ReadableAt = time.Now()
		change.NotifiedAt = change.ReadableAt
		d.deliveredChanges = append(d.deliveredChanges, change)
	}
	d.undeliveredChanges = nil
	d.wakeWaitersLocked()
}

// SetEarliestNotification sets the time before which the sidecar does not count as notified of any change. It is used
// for a sidecar that does not know the address of this agent yet.
func (d *Discovery) SetEarliestNotification(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.earliestNotification = at
}

// Changes returns the changes delivered so far, in the order of delivery.
func (d *Discovery) Changes() []EndpointChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := append([]EndpointChange(nil), d.deliveredChanges...)
	for i := range changes {
		if changes[i].NotifiedAt.Before(d.earliestNotification) {
			changes[i].NotifiedAt = d.earliestNotification
		}
	}
	return changes
}

// List returns the current endpoint list, without the endpoints that are gone.
func (d *Discovery) List() membership.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

// listLocked is List for a caller that holds mu.
func (d *Discovery) listLocked() membership.EndpointList {
	list := membership.EndpointList{Revision: d.revision, Complete: true, Endpoints: []membership.Endpoint{}}
	for _, endpoint := range d.endpoints {
		if endpoint.State() != balance.Gone {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// wakeWaitersLocked wakes the pending requests. The caller holds mu.
func (d *Discovery) wakeWaitersLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}
