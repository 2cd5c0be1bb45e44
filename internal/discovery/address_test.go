package discovery

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestNoListFromOldAddressAfterNew checks an address change while the old address responds: whether or not its list is still reported,
// none from there follows one from the new address.
func TestNoListFromOldAddressAfterNew(t *testing.T) {
	for range 50 {
		cfg := sidecartest.Config(t)
		events := make(listRecorder, 10)
		watcher := NewWatcher(cfg, events)
		watcher.mode = agentMode
		moving := make(chan bool)
		var moved sync.Once
		watcher.client.http.Transport = roundTripFunc(func(req *http.Request) (*http.Response, error) {
			if req.URL.Host == cfg.Discovery {
				moved.Do(func() { close(moving) }) // coincides with the response
			} else if req.URL.RawQuery != "" {
				<-req.Context().Done()
				return nil, req.Context().Err()
			}
			return emptyListResponse(), nil
		})
		runWatcher(t, watcher)
		<-moving
		watcher.SetAddress("127.0.0.1:2")
		for address := ""; address != "127.0.0.1:2"; {
			address = sidecartest.Next(t, events).address
		}
		select {
		case event := <-events:
			if event.address == cfg.Discovery {
				t.Fatal("a list from the old address came after one from the new address")
			}
		default:
		}
	}
}

// TestAddressChangeRetriesRefusedConnection checks that a new address that is not up yet is called again soon and without a request: the
// balancer waits for long after many failures.
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
	for range 3 { // none of the calls was requested
		if event := sidecartest.Next(t, events); event.err == nil {
			t.Error("the refused connection was not reported")
		}
	}
	watcher.SetAddress(server.Addr)
	if got := sidecartest.Next(t, server.Queries); got != "" {
		t.Errorf("the first call to the next address has the query %q, want none", got)
	}
}

// TestLastAddressChangeWins checks that several address changes in a row, one of them before the first list, end at the last
// address.
func TestLastAddressChangeWins(t *testing.T) {
	first, second, third := sidecartest.NewDiscoveryServer(t), sidecartest.NewDiscoveryServer(t), sidecartest.NewDiscoveryServer(t)
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
