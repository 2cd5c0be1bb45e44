package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cindersaddle/internal/membership"
)

// Discovery is the agent of one sidecar: it answers calls for the list and watches.
type Discovery struct {
	listener net.Listener
	server   *http.Server
	running  sync.WaitGroup

	mu        sync.Mutex
	revision  int64
	endpoints map[string]membership.Endpoint
	changed   chan struct{} // closed at the next change of list or state
	silent    bool
	told      []Notice
	untold    []Notice // made while silent
	from      time.Time
}

// Notice is a change of a server that discovery had for its sidecar.
type Notice struct {
	Server string
	Phase  string
	HadAt  time.Time // when it could be read for the first time
	At     time.Time // when it counts as told, which can be later
}

// NewDiscovery starts an agent with an empty list.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	d := &Discovery{listener: listener, revision: 1, endpoints: map[string]membership.Endpoint{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.answer)}
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

// Set adds or changes a server. It counts as told from now on, unless the agent is silent; then from its return.
func (d *Discovery) Set(endpoint membership.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.endpoints[endpoint.ID] = endpoint
	now := time.Now()
	notice := Notice{Server: endpoint.ID, Phase: endpoint.Phase, HadAt: now, At: now}
	if d.silent {
		d.untold = append(d.untold, notice)
	} else {
		d.told = append(d.told, notice)
	}
	d.wakeLocked()
}

// SetSilent makes the agent answer nothing, or answer again.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	if !silent {
		for _, notice := range d.untold {
			notice.HadAt = time.Now()
			notice.At = notice.HadAt
			d.told = append(d.told, notice)
		}
		d.untold = nil
	}
	d.wakeLocked()
}

// CountNoticesFrom sets a time before which nothing counts as told: the sidecar has to hear of this agent first.
func (d *Discovery) CountNoticesFrom(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.from = from
}

// Notices returns the changes that the sidecar was told so far.
func (d *Discovery) Notices() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	notices := append([]Notice(nil), d.told...)
	for i := range notices {
		if notices[i].At.Before(d.from) {
			notices[i].At = d.from
		}
	}
	return notices
}

// List returns the present list.
func (d *Discovery) List() membership.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

func (d *Discovery) listLocked() membership.EndpointList {
	list := membership.EndpointList{Revision: d.revision, Complete: true, Members: []membership.Endpoint{}}
	for _, endpoint := range d.endpoints {
		if endpoint.Phase != "gone" {
			list.Members = append(list.Members, endpoint)
		}
	}
	return list
}

func (d *Discovery) wakeLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer answers a call for the list, at once or when there is something newer than the revision that it names.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdEnd := time.After(time.Duration(holdMS) * time.Millisecond)
	for held := false; ; {
		d.mu.Lock()
		list, changed, silent := d.listLocked(), d.changed, d.silent
		d.mu.Unlock()
		isWatch := r.URL.Query().Has("from")
		if !silent && (!isWatch || list.Revision > from || held) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-holdEnd:
			held = true
			holdEnd = nil
		case <-r.Context().Done():
			return
		}
	}
}
