package sidecar

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/admin"
	"cindersaddle/internal/config"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
)

// TestHalfClosedClientGetsNoResponse tests the failure in which a client closes the sending side of its connection while its
// request is in flight. It counts as disconnected, and its request is cancelled. If its handler then simply returned,
// net/http would write an empty response with status 200 that no endpoint has sent. The client must get no response.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	gate := sidecartest.NewGate()
	sidecar, _ := startWithEndpoint(t, gate.Hold(sidecartest.Respond(200, "held")))
	defer gate.Open()
	conn, err := net.Dial("tcp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := sidecar.newRequest("pay").Write(conn); err != nil {
		t.Fatal(err)
	}
	gate.AwaitRequest(t)
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if got, _ := io.ReadAll(conn); len(got) != 0 {
		t.Errorf("response %q, want none", got)
	}
}

// TestClientDisconnectCancelsAttempt tests the failure in which a client disconnects while an attempt is in flight. If bytes that
// it sent after its request are still unread, they hide the end of the connection, and the endpoint would work for nobody. The
// attempt must be cancelled in any case, and the reset that the endpoint then sends must not lead to a retry.
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
				sidecar.write(conn, sidecar.rawRequestHead("read"))
				sidecartest.Next(t, started)
				io.WriteString(conn, text) // of a long text, the last part may find the connection closed
				disconnect(conn)
				if !sidecartest.Next(t, noticed) {
					t.Error("the attempt was not cancelled")
				}
				if got := len(server.Requests()); got != 1 {
					t.Errorf("the servers received %d requests, want 1", got)
				}
			})
		}
	}
}

// TestNoAttemptAfterClientDisconnect tests the failure in which a client disconnects before an attempt of its request begins, and
// no read has reported that yet, as the goroutine that reads has not run. The endpoint would execute a request whose client has
// left. No attempt may begin, in whichever way the client disconnects and at whichever stage its request is.
func TestNoAttemptAfterClientDisconnect(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		for stage, check := range map[string]func(*testing.T, func(net.Conn)){
			"in the event queue": checkDisconnectInEventQueue,
			"without endpoints":  checkDisconnectWithoutEndpoints,
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
	barrier := newLogBarrier("endpoint list not received")
	sidecar, blocker := startWithReadBlocker(t, sidecartest.Config(t, endpoints...), barrier)
	sidecar.discovery.Lists <- membership.EndpointList{Endpoints: []membership.Endpoint{{Phase: "odd"}}} // the event loop logs the failure
	sidecartest.Next(t, barrier.reached)
	conn := blocker.dialBlocked(sidecar)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, blocker.blocked)
	disconnect(conn)
	close(barrier.release)
	sidecar.do(sidecar.newRequest("read")) // handled after the first one
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("the server received %d requests, want 1", got)
	}
}

// checkDisconnectWithoutEndpoints disconnects while the request waits for an endpoint to be known.
func checkDisconnectWithoutEndpoints(t *testing.T, disconnect func(net.Conn)) {
	endpoints, requestCount := startServersWithSharedSteps(t, 1, sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecar.waitForPending(1)
	disconnect(conn)
	sidecar.discovery.Lists <- sidecartest.CompleteList(42, endpoints...)
	if got := requestCountWhenIdle(sidecar, requestCount); got != 0 {
		t.Errorf("the server received %d requests, want 0", got)
	}
}

// checkDisconnectBetweenAttempts disconnects during a first attempt that fails and would be retried.
func checkDisconnectBetweenAttempts(t *testing.T, disconnect func(net.Conn)) {
	gate := sidecartest.NewGate()
	endpoints, requestCount := startServersWithSharedSteps(t, 2, gate.Hold(sidecartest.Respond(500, "")), sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t, endpoints...), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	disconnect(conn)
	gate.Open()
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("the servers received %d requests, want 1", got)
	}
}

// checkDisconnectWithFullPool disconnects while the request waits for one of the connections to endpoints.
func checkDisconnectWithFullPool(t *testing.T, disconnect func(net.Conn)) {
	gate := sidecartest.NewGate()
	endpoints, requestCount := startServersWithSharedSteps(t, 1, gate.Hold(sidecartest.Respond(200, "served")))
	cfg := sidecartest.Config(t, endpoints...)
	cfg.Limits.Sockets = config.ReservedSockets + admin.MaxConns + 9 // four to endpoints, five to clients
	barrier := newLogBarrier("attempt failed")
	sidecar, blocker := startWithReadBlocker(t, cfg, barrier)
	for range 4 {
		sidecar.write(sidecar.dial(), sidecar.rawRequestHead("read"))
		gate.AwaitRequest(t)
	}
	conn := blocker.dialBlocked(sidecar)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, blocker.blocked)
	sidecartest.Next(t, barrier.reached) // the attempt found the pool full, and would find a free connection once the gate is open
	close(barrier.release)
	sidecar.waitForPending(5)
	disconnect(conn)
	gate.Open()
	sidecar.waitForPending(1)     // the others are served
	endpoints[0].ID = "s-another" // an endpoint at which the request had no attempt
	sidecar.discovery.Lists <- sidecartest.ListUpdate(42, endpoints...)
	if got := requestCountWhenIdle(sidecar, requestCount); got != 4 {
		t.Errorf("the server received %d requests, want 4", got)
	}
}

// requestCountWhenIdle waits until no request is pending and returns the number of requests that the servers received.
func requestCountWhenIdle(sidecar *testSidecar, requestCount *atomic.Int32) int32 {
	sidecar.t.Helper()
	sidecar.waitForPending(0)
	return requestCount.Load()
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
