package sidecartest

import (
	"encoding/json"
	"net/http"
	"testing"

	"cindersaddle/internal/membership"
)

// DiscoveryServer is a discovery service that responds to each request with the next value that the test sends to Lists
// or RawLists.
type DiscoveryServer struct {
	Addr      string
	Queries   chan string                  // receives the query string of each request
	Lists     chan membership.EndpointList // responses, which are encoded as JSON
	RawLists  chan []byte                  // responses that are written unchanged
	Cancelled chan bool                    // receives true for each request that the client cancels before its response
}

// eventBacklog is the capacity of the channels to which servers send events. No test causes more events, so that a
// server does not block if the test does not read them.
const eventBacklog = 100

// NewDiscoveryServer starts a discovery service and stops it at the end of the test.
func NewDiscoveryServer(t *testing.T) *DiscoveryServer {
	t.Helper()
	server := &DiscoveryServer{
		Queries:   make(chan string, eventBacklog),
		Lists:     make(chan membership.EndpointList),
		RawLists:  make(chan []byte),
		Cancelled: make(chan bool, eventBacklog),
	}
	server.Addr = ServeHTTP(t, http.HandlerFunc(server.respond))
	return server
}

// respond waits until the test provides a response or the client cancels the request. It ignores errors of the write,
// as a test may stop the client at any time.
func (server *DiscoveryServer) respond(w http.ResponseWriter, request *http.Request) {
	server.Queries <- request.URL.RawQuery
	select {
	case list := <-server.Lists:
		json.NewEncoder(w).Encode(list)
	case text := <-server.RawLists:
		w.Write(text)
	case <-request.Context().Done():
		server.Cancelled <- true
	}
}
