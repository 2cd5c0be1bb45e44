package sidecartest

import (
	"encoding/json"
	"net/http"
	"testing"

	"cindersaddle/internal/membership"
)

// DiscoveryServer is a discovery service that responds to each request with the next list that the test sends.
type DiscoveryServer struct {
	Addr      string
	Queries   chan string                  // the query of each request
	Lists     chan membership.EndpointList // the responses
	RawLists  chan []byte                  // responses that are written as they are
	Cancelled chan bool                    // a value for each request that was cancelled before its response
}

// eventBacklog is more than the events of any test, so that a server is not blocked by a test that does not read them.
const eventBacklog = 100

// NewDiscoveryServer starts a discovery service, which is stopped at the end of the test.
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

// respond waits for the response to one request. Writing it may fail, as a test may stop the client at any time.
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
