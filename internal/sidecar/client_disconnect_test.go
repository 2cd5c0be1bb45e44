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

// TestHalfClosedClientGetsNoResponse guards against a response that no endpoint has sent. A client that closes the
// sending side of its connection during a request counts as disconnected, and its request is cancelled. If the handler
// then just returned, net/http would write an empty response with status 200. The client must get no response.
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
		t.Errorf("got response %q, want none", got)
	}
}

// TestClientDisconnectCancelsAttempt guards against an attempt that continues after its client disconnected, so that
// the endpoint works for nothing. Unread bytes that the client sent after its request can hide the end of the
// connection. The attempt must be cancelled with and without such bytes, and the endpoint's reset that follows must not
// cause a retry.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	for method, disconnect := range sidecartest.DisconnectMethods {
		for trailing, text := range map[string]string{
			"nothing": "", "a byte": "x", "much": strings.Repeat("x", 2*http1.MaxBufferedBody),
		} {
			t.Run(method+" behind "+trailing, func(t *testing.T) {
				started, cancelled := make(chan bool, 1), make(chan bool, 1)
				server := sidecartest.NewScriptedServer(t, func(conn net.Conn) bool {
					started <- true
					_, err := conn.Read(make([]byte, 1))
					cancelled <- err != nil
					conn.(*net.TCPConn).SetLinger(0) // a reset, which would cause a retry if the client were connected
					return false
				})
				sidecar := startSidecar(t, sidecartest.Config(t,
					sidecartest.ReadyEndpoint("s-1", server.Addr), sidecartest.ReadyEndpoint("s-2", server.Addr)))
				conn := sidecar.dial()
				sidecar.write(conn, sidecar.rawRequestHead("read"))
				sidecartest.Next(t, started)
				io.WriteString(conn, text) // may fail if the sidecar closes the connection before it has read a long text
				disconnect(conn)
				if !sidecartest.Next(t, cancelled) {
					t.Error("got more bytes on the attempt's connection, want the attempt to be cancelled")
				}
				if got := len(server.Requests()); got != 1 {
					t.Errorf("got %d requests at the servers, want 1", got)
				}
			})
		}
	}
}

// TestNoAttemptAfterClientDisconnect guards against an attempt that begins after its client disconnected: the endpoint
// would execute a request without a client. The sidecar may not have read the end of the connection yet, because the
// goroutine that reads has not run. No attempt may begin, however the client disconnects and whatever stage its request
// has reached.
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

// checkDisconnectInEventQueue lets the client disconnect while its request is queued for the event loop.
func checkDisconnectInEventQueue(t *testing.T, disconnect func(net.Conn)) {
	endpoints, requestCount := startServersWithSharedSteps(t, 1, sidecartest.Respond(200, "served"))
	barrier := newLogBarrier("endpoint list not received")
	sidecar, blocker := startWithReadBlocker(t, sidecartest.Config(t, endpoints...), barrier)
	sidecar.discovery.Lists <- membership.EndpointList{Endpoints: []membership.Endpoint{{Phase: "odd"}}}
	// The list is invalid. The event loop logs this, and the barrier blocks the event loop there.
	sidecartest.Next(t, barrier.reached)
	conn := blocker.dialBlocked(sidecar)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, blocker.blocked)
	disconnect(conn)
	close(barrier.release)
	sidecar.do(sidecar.newRequest("read")) // the event loop handles it after the first request
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("got %d requests at the server, want 1", got)
	}
}

// checkDisconnectWithoutEndpoints lets the client disconnect while its request waits because no endpoint is known.
func checkDisconnectWithoutEndpoints(t *testing.T, disconnect func(net.Conn)) {
	endpoints, requestCount := startServersWithSharedSteps(t, 1, sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecar.waitForPendingRequests(1)
	disconnect(conn)
	sidecar.discovery.Lists <- sidecartest.CompleteList(42, endpoints...)
	if got := requestCountWhenIdle(sidecar, requestCount); got != 0 {
		t.Errorf("got %d requests at the server, want 0", got)
	}
}

// checkDisconnectBetweenAttempts lets the client disconnect during a first attempt, which then fails and would be
// retried.
func checkDisconnectBetweenAttempts(t *testing.T, disconnect func(net.Conn)) {
	gate := sidecartest.NewGate()
	endpoints, requestCount := startServersWithSharedSteps(t, 2,
		gate.Hold(sidecartest.Respond(500, "")), sidecartest.Respond(200, "served"))
	sidecar, _, conn := startWithBlockedClient(t, sidecartest.Config(t, endpoints...), slog.DiscardHandler)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	gate.AwaitRequest(t)
	disconnect(conn)
	gate.Open()
	if got := requestCountWhenIdle(sidecar, requestCount); got != 1 {
		t.Errorf("got %d requests at the servers, want 1", got)
	}
}

// checkDisconnectWithFullPool lets the client disconnect while its request waits for a free connection to an endpoint.
func checkDisconnectWithFullPool(t *testing.T, disconnect func(net.Conn)) {
	gate := sidecartest.NewGate()
	endpoints, requestCount := startServersWithSharedSteps(t, 1, gate.Hold(sidecartest.Respond(200, "served")))
	cfg := sidecartest.Config(t, endpoints...)
	cfg.Limits.Sockets = config.ReservedSockets + admin.MaxConns + 9 // 4 for endpoints, 5 for clients
	barrier := newLogBarrier("attempt failed")
	sidecar, blocker := startWithReadBlocker(t, cfg, barrier)
	for range 4 {
		sidecar.write(sidecar.dial(), sidecar.rawRequestHead("read"))
		gate.AwaitRequest(t)
	}
	conn := blocker.dialBlocked(sidecar)
	sidecar.write(conn, sidecar.rawRequestHead("read"))
	sidecartest.Next(t, blocker.blocked)
	sidecartest.Next(t, barrier.reached) // the attempt found the pool full; a connection is free when the gate is open
	close(barrier.release)
	sidecar.waitForPendingRequests(5)
	disconnect(conn)
	gate.Open()
	sidecar.waitForPendingRequests(1) // the other requests are served
	endpoints[0].ID = "s-another"     // a new endpoint, which could get an attempt of the request
	sidecar.discovery.Lists <- sidecartest.ListUpdate(42, endpoints...)
	if got := requestCountWhenIdle(sidecar, requestCount); got != 4 {
		t.Errorf("got %d requests at the server, want 4", got)
	}
}

// requestCountWhenIdle waits until no request is pending, and returns the number of requests that the servers received.
func requestCountWhenIdle(sidecar *testSidecar, requestCount *atomic.Int32) int32 {
	sidecar.t.Helper()
	sidecar.waitForPendingRequests(0)
	return requestCount.Load()
}

// startServersWithSharedSteps starts servers that share one list of steps: each request runs the next step, whichever
// server receives it, and the last step is repeated. It returns the servers as endpoints, and the number of requests
// that they have received so far.
func startServersWithSharedSteps(
	t *testing.T, serverCount int, steps ...sidecartest.Step,
) (endpoints []membership.Endpoint, requestCount *atomic.Int32) {
	requestCount = &atomic.Int32{}
	for i := range serverCount {
		server := sidecartest.NewScriptedServer(t, func(conn net.Conn) bool {
			return steps[min(int(requestCount.Add(1)), len(steps))-1](conn)
		})
		endpoints = append(endpoints, sidecartest.ReadyEndpoint(fmt.Sprintf("s-%d", i), server.Addr))
	}
	return endpoints, requestCount
}
