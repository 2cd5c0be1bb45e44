package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// member is an entry of the list of servers.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// startDiscovery starts a discovery agent with a list that does not change. It holds a watch for the time that the watch
// asks for, and then responds with no changes.
func startDiscovery(members []member) (address string) {
	const revision = 41
	respond := func(w http.ResponseWriter, complete bool, entries []member) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"revision": revision, "complete": complete, "members": entries})
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if from, _ := strconv.Atoi(query.Get("from")); !query.Has("from") || from < revision {
			respond(w, true, members)
			return
		}
		holdMS, _ := strconv.Atoi(query.Get("hold_ms"))
		select {
		case <-time.After(time.Duration(holdMS) * time.Millisecond):
			respond(w, false, []member{})
		case <-r.Context().Done():
		}
	}
	listener, err := net.Listen("tcp", freePort())
	check(err)
	go http.Serve(listener, http.HandlerFunc(handler))
	return listener.Addr().String()
}
