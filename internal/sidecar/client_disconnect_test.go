package sidecar

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestHalfClosedClientGetsNoResponse checks that a client which closes its sending side counts as disconnected and gets no
// response. net/http would end the handler with an empty 200, although no server sent one.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	server := sidecartest.NewScriptedServer(t, sidecartest.RespondAfter(started, release))
	defer close(release)
	sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr)))
	conn, err := net.Dial("tcp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := sidecar.newRequest("pay").Write(conn); err != nil {
		t.Fatal(err)
	}
	sidecartest.Next(t, started)
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if got, _ := io.ReadAll(conn); len(got) != 0 {
		t.Errorf("response %q, want none", got)
	}
}

// TestClientDisconnectCancelsAttempt checks that a disconnect cancels the attempt, whatever the client sent after its
// request, and that the request is not retried.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		for trailing, text := range map[string]string{"nothing": "", "a byte": "x", "much": strings.Repeat("x", 2*http1.MaxBufferedBody)} {
			t.Run(method+" behind "+trailing, func(t *testing.T) {
				started, noticed := make(chan bool, 1), make(chan bool, 1)
				server := sidecartest.NewScriptedServer(t, func(conn net.Conn) bool {
					started <- true
					_, err := conn.Read(make([]byte, 1))
					noticed <- err != nil
					conn.(*net.TCPConn).SetLinger(0) // a reset, after which the request would be retried
					return false
				})
				sidecar := startSidecar(t, sidecartest.Config(t, sidecartest.ReadyEndpoint("s-1", server.Addr), sidecartest.ReadyEndpoint("s-2", server.Addr)))
				conn := sidecar.dial()
				sidecar.write(conn, sidecar.rawRequest("read"))
				sidecartest.Next(t, started)
				io.WriteString(conn, text) // of a long text, the last part may find the connection closed
				disconnect(conn)
				if !sidecartest.Next(t, noticed) {
					t.Error("the attempt was not cancelled")
				}
				if got := len(sidecartest.RequestsTo(server)); got != 1 {
					t.Errorf("the servers received %d requests, want 1", got)
				}
			})
		}
	}
}

// TestNoAttemptAfterClientDisconnect checks that no attempt begins for a client that disconnected, in any way and at any
// stage of its request, even though no read reports the disconnect: the reading goroutine may not have run yet.
func TestNoAttemptAfterClientDisconnect(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		for stage, check := range map[string]func(*testing.T, func(net.Conn)){
			"in the inbox":       checkDisconnectInEventQueue,
			"in the module":      checkDisconnectWithoutServers,
			"between attempts":   checkDisconnectBetweenAttempts,
			"behind a full pool": checkDisconnectWithFullPool,
		} {
			t.Run(stage+", "+method, func(t *testing.T) {
				t.Parallel()
				check(t, disconnect)
			})
		}
	}
}

// checkDisconnectInEventQueue disconnects while the request is queued for the event loop.
func checkDisconnectInEventQueue(t *testing.T, disconnect func(net.Conn)) {
	endpoints, requestCount := startServersWithSharedSteps(t, 1, sidecartest.Respond(200, "served"))
	barrier := logBarrier{slog.DiscardHandler, "list of servers", make(chan bool), make(chan bool)}
	sidecar, blocker, conn := startWithBlockedClient(t, sidecartest.Config(t, endpoints...), barrier)
	sidecar.discovery.Lists <- membership.EndpointList{Members: []membership.Endpoint{{Phase: "odd"}}} // the event loop logs the failure
	sidecartest.Next(t, barrier.reached)
	sidecar.write(conn, sidecar.rawRequest("read"))
	<-blocker.blocked
	disconnect(conn)
	close(barrier.release)
	sidecar.do(sidecar.newRequest("read")) // handled after the first one
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("the server received %d requests, want 1", got)
	}
}

// checkDisconnectWithoutServers disconnects while the request waits for a server to be known.
func checkDisconnectWithoutServers(t *testing.T, disconnect func(net.Conn)) {
	endpoints, requestCount := startServersWithSharedSteps(t, 1, sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequest("read"))
	sidecartest.WaitFor(t, "the request is pending", func() bool { return sidecar.metric("pending") == "1" })
	disconnect(conn)
	sidecar.discovery.Lists <- membership.EndpointList{Revision: 42, Complete: true, Members: endpoints}
	if got := requestCountWhenIdle(sidecar, requestCount); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
}

// checkDisconnectBetweenAttempts disconnects during a first attempt that fails and would be retried.
func checkDisconnectBetweenAttempts(t *testing.T, disconnect func(net.Conn)) {
	started, release := make(chan bool, 1), make(chan bool)
	endpoints, requestCount := startServersWithSharedSteps(t, 2, func(conn net.Conn) bool {
		started <- true
		<-release
		return sidecartest.Respond(500, "")(conn)
	}, sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t, endpoints...), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequest("read"))
	sidecartest.Next(t, started)
	disconnect(conn)
	close(release)
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("the servers received %d requests, want 1", got)
	}
}

// checkDisconnectWithFullPool disconnects while the request waits for one of the connections to servers.
func checkDisconnectWithFullPool(t *testing.T, disconnect func(net.Conn)) {
	started, release := make(chan bool, 10), make(chan bool)
	endpoints, requestCount := startServersWithSharedSteps(t, 1, func(conn net.Conn) bool {
		started <- true
		<-release
		return sidecartest.Respond(200, "served")(conn)
	})
	cfg := sidecartest.Config(t, endpoints...)
	cfg.Limits.Sockets = config.ReservedSockets + admin.MaxConns + 9 // four to servers, five to clients
	sidecar, blocker, conn := startWithBlockedClient(t, cfg, slog.DiscardHandler)
	for range 4 {
		sidecar.write(sidecar.dial(), sidecar.rawRequest("read"))
		sidecartest.Next(t, started)
	}
	sidecar.write(conn, sidecar.rawRequest("read"))
	<-blocker.blocked
	sidecartest.WaitFor(t, "all requests are pending", func() bool { return sidecar.metric("pending") == "5" })
	disconnect(conn)
	close(release)
	sidecartest.WaitFor(t, "the other requests are served", func() bool { return sidecar.metric("pending") == "1" })
	endpoints[0].ID = "s-another" // a server that the request had no attempt at
	sidecar.discovery.Lists <- membership.EndpointList{Revision: 42, Members: endpoints}
	if got := requestCountWhenIdle(sidecar, requestCount); got != 4 {
		t.Errorf("the server received %d requests, want 4", got)
	}
}

// startWithBlockedClient starts a sidecar with an admin address, and a client connection from which it reads only once.
func startWithBlockedClient(t *testing.T, cfg *config.Config, log slog.Handler) (*testSidecar, *readBlocker, net.Conn) {
	t.Helper()
	blocker := newReadBlocker()
	cfg.BeforeRead = blocker.beforeRead
	sidecar := startSidecarWithLog(t, withAdmin(cfg), log)
	t.Cleanup(blocker.unblock)
	return sidecar, blocker, blocker.dialBlocked(sidecar)
}

// requestCountWhenIdle waits until no request is pending and returns the number of requests that the servers received.
func requestCountWhenIdle(sidecar *testSidecar, requestCount *atomic.Int32) int32 {
	sidecar.t.Helper()
	sidecartest.WaitFor(sidecar.t, "nothing is pending", func() bool { return sidecar.metric("pending") == "0" })
	return requestCount.Load()
}

// readBlocker blocks the reads from one client after the first one, so that no read reports its disconnect.
type readBlocker struct {
	mu         sync.Mutex
	clientAddr string
	reads      map[string]int
	blocked    chan bool // closed when the read after the first has begun
	unblocked  chan bool // closed when reading may go on
	unblock    func()    // closes unblocked, once
}

// newReadBlocker returns a blocker for a client that is dialled later.
func newReadBlocker() *readBlocker {
	blocker := &readBlocker{reads: map[string]int{}, blocked: make(chan bool), unblocked: make(chan bool)}
	blocker.unblock = sync.OnceFunc(func() { close(blocker.unblocked) })
	return blocker
}

// beforeRead is called ahead of each read from a client.
func (blocker *readBlocker) beforeRead(from net.Addr) {
	blocker.mu.Lock()
	blocker.reads[from.String()]++
	second := from.String() == blocker.clientAddr && blocker.reads[blocker.clientAddr] == 2
	blocker.mu.Unlock()
	if second {
		close(blocker.blocked)
		<-blocker.unblocked
	}
}

// dialBlocked connects the client whose reads are blocked.
func (blocker *readBlocker) dialBlocked(sidecar *testSidecar) net.Conn {
	conn := sidecar.dial()
	blocker.mu.Lock()
	defer blocker.mu.Unlock()
	blocker.clientAddr = conn.LocalAddr().String()
	return conn
}

// startServersWithSharedSteps starts servers that share one list of steps: each request takes the next one, whichever
// server receives it. It returns the servers as endpoints, and the number of requests received so far.
func startServersWithSharedSteps(t *testing.T, servers int, steps ...sidecartest.Step) (endpoints []membership.Endpoint, requestCount *atomic.Int32) {
	requestCount = &atomic.Int32{}
	for i := range servers {
		server := sidecartest.NewScriptedServer(t, func(conn net.Conn) bool { return steps[min(int(requestCount.Add(1)), len(steps))-1](conn) })
		endpoints = append(endpoints, sidecartest.ReadyEndpoint(fmt.Sprintf("s-%d", i), server.Addr))
	}
	return endpoints, requestCount
}
