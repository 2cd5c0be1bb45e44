package discovery

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestNoListFromOldAddressAfterNew checks that no list from the old address is reported after one from the new
// address, if the address changes while the old one responds. Whether the list of that response is reported does not
// matter.
func TestNoListFromOldAddressAfterNew(t *testing.T) {
	for range 50 {
		cfg := sidecartest.Config(t)
		events := make(listRecorder, 10)
		watcher := NewWatcher(cfg, events)
		watcher.mode = agentMode
		responding := make(chan bool)
		var firstResponse sync.Once
		watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			if req.URL.Host == cfg.Discovery {
				firstResponse.Do(func() { close(responding) }) // so that the address changes during the response
			} else if req.URL.RawQuery != "" {
				<-req.Context().Done()
				return nil, req.Context().Err()
			}
			return emptyListResponse(), nil
		})
		runWatcher(t, watcher)
		<-responding
		watcher.SetAddress("127.0.0.1:2")
		for address := ""; address != "127.0.0.1:2"; {
			address = sidecartest.Next(t, events).address
		}
		select {
		case event := <-events:
			if event.address == cfg.Discovery {
				t.Fatalf("after a list from the new address: got the event %v, want none from the old address", event)
			}
		default:
		}
	}
}

// TestAddressChangeRetriesRefusedConnection checks that after a change to an address that is not reachable yet, calls
// are repeated soon and without requests. The balancer would pause for long after many failures.
func TestAddressChangeRetriesRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := listener.Addr().String()
	listener.Close()
	server := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery = server.Addr
	events := make(eventRecorder, 100)
	watcher := NewWatcher(cfg, events)
	runWatcher(t, watcher)
	watcher.RequestWatch()
	sidecartest.Next(t, server.Queries)
	watcher.SetAddress(refusing)
	for range 3 { // without requests
		if event := sidecartest.Next(t, events); event.err == nil {
			t.Errorf("got the event %v, want the failure of a refused connection", event)
		}
	}
	watcher.SetAddress(server.Addr)
	if got := sidecartest.Next(t, server.Queries); got != "" {
		t.Errorf("the first call to the next address has the query %q, want none", got)
	}
}

// TestLastAddressChangeWins checks that after several address changes in quick succession, the first of them before
// Run, the list comes from the last address.
func TestLastAddressChangeWins(t *testing.T) {
	first := sidecartest.NewDiscoveryServer(t)
	second := sidecartest.NewDiscoveryServer(t)
	third := sidecartest.NewDiscoveryServer(t)
	cfg := sidecartest.Config(t)
	cfg.Discovery, cfg.KnownEndpoints = first.Addr, membership.EndpointList{}
	events := make(eventRecorder, 100)
	watcher := NewWatcher(cfg, events)
	watcher.SetAddress(second.Addr) // before Run
	runWatcher(t, watcher)
	watcher.RequestWatch()
	sidecartest.Next(t, second.Queries)
	watcher.SetAddress(first.Addr)
	watcher.SetAddress(third.Addr)
	sidecartest.Next(t, third.Queries)
	third.Lists <- membership.EndpointList{Revision: 1, Complete: true}
	if event := sidecartest.Next(t, events); !event.isList(1) {
		t.Errorf("got the event %v, want revision 1", event)
	}
}
