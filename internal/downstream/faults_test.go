//go:build faults

package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/socket"
)

// failFirstCalls makes the first count calls of a kind fail with an error, until the end of the test.
func failFirstCalls(t *testing.T, call fault.Call, count int32, err error) {
	t.Helper()
	failCallsAfter(t, call, 0, count, err)
}

// failCallsAfter lets some calls of a kind pass and makes the next count ones fail with an error, until the end of the test.
func failCallsAfter(t *testing.T, call fault.Call, pass, count int32, err error) {
	t.Helper()
	var calls atomic.Int32
	fault.Use(&fault.Plan{Decide: func(made fault.Call) error {
		if made != call {
			return nil
		}
		if number := calls.Add(1); number <= pass || number > pass+count {
			return nil
		}
		return err
	}})
	t.Cleanup(func() { fault.Use(nil) })
}

// transientAcceptErrors are the errors that accept(2) documents, but for those of a listener that cannot be used.
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
}

// TestAcceptErrorsDoNotEndServing checks that the connection which comes after a failed accept is served.
func TestAcceptErrorsDoNotEndServing(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			inner := sidecartest.Listen(t)
			listener := newTestListener(inner)
			failFirstCalls(t, fault.Accept, 3, errno)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(listener) }()
			defer server.Close()
			client := http.Client{Timeout: sidecartest.Timeout}
			response, err := client.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Fatalf("the request failed: %v", err)
			}
			response.Body.Close()
			client.CloseIdleConnections()
			select {
			case err := <-ended:
				t.Errorf("serving ended: %v", err)
			default:
			}
		})
	}
}

// TestBrokenListenerEndsAccept checks that a listener which cannot be used any more is not called for ever.
func TestBrokenListenerEndsAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		listener := newTestListener(sidecartest.Listen(t))
		failFirstCalls(t, fault.Accept, 1, errno)
		if _, err := listener.Accept(); !errors.Is(err, errno) {
			t.Errorf("Accept returns %v, want %v", err, errno)
		}
	}
}

// TestDrainSurvivesErrors checks that errors while the listen queue is drained lose none of its connections.
func TestDrainSurvivesErrors(t *testing.T) {
	calls := map[fault.Call][]syscall.Errno{
		fault.Accept:    transientAcceptErrors,
		fault.Duplicate: {syscall.EMFILE, syscall.ENFILE},
	}
	for call, errnos := range calls {
		for _, errno := range errnos {
			t.Run(string(call)+" "+errno.Error(), func(t *testing.T) { drainWithErrors(t, call, errno) })
		}
	}
}

func drainWithErrors(t *testing.T, call fault.Call, errno syscall.Errno) {
	const waiting = 5
	inner := sidecartest.Listen(t)
	listener := newTestListener(inner)
	dialQueued(t, inner, waiting)
	go listener.Drain(t.Context())
	sidecartest.WaitFor(t, "the drain begins", listener.draining.Load)
	failCallsAfter(t, call, 2, 2, errno) // the first accept is interrupted, the next one drains a connection
	for accepted := range waiting {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatalf("Accept after %d of %d connections: %v", accepted, waiting, err)
		}
		defer conn.Close()
	}
}

// TestFailedPeekIsNotAClosedPeer checks that a peek which an error interrupts does not make a client count as disconnected.
func TestFailedPeekIsNotAClosedPeer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		conn, _ := newTrackedConn(t)
		failFirstCalls(t, fault.Peek, 1, errno)
		if conn.CheckClientDisconnected() {
			t.Errorf("%v: the client counts as disconnected", errno)
		}
		failFirstCalls(t, fault.Peek, 1, errno)
		if err := conn.MarkAwaitingResponse(1); err != nil {
			t.Errorf("%v: the request does not await its response: %v", errno, err)
		}
	}
}

// TestInterruptedPeekIsRepeated checks that the state of a connection is known in spite of a signal.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	conn, _ := newTrackedConn(t)
	failFirstCalls(t, fault.Peek, 3, syscall.EINTR)
	if state := socket.Peek(conn.TCPConn); state != socket.Silent {
		t.Errorf("state %d, want %d", state, socket.Silent)
	}
}

// TestFailedPeekClosesNoConnection checks that a connection of which the kernel does not report whether bytes wait stays open.
func TestFailedPeekClosesNoConnection(t *testing.T) {
	conn, _ := newTrackedConn(t)
	failFirstCalls(t, fault.Peek, 1, syscall.ENOMEM)
	if conn.markClosingIfNoRequest() {
		t.Error("the connection was closed")
	}
}

// TestReadsAndWritesGoOnAfterErrors checks that requests and responses pass although reads and writes fail for want of
// memory, are interrupted, or transfer a part only.
func TestReadsAndWritesGoOnAfterErrors(t *testing.T) {
	plan, err := fault.ParsePlan("seed=7 rate=0.3 short=0.9 read=EINTR,ENOBUFS,ENOMEM write=EINTR,ENOBUFS,ENOMEM")
	if err != nil {
		t.Fatal(err)
	}
	conn, client := newTrackedConn(t)
	fault.Use(plan)
	t.Cleanup(func() { fault.Use(nil) })
	const request = "GET /api HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
	go io.WriteString(client, request)
	read := make([]byte, len(request))
	if _, err := io.ReadFull(conn, read); err != nil || string(read) != request {
		t.Fatalf("read %q, %v", read, err)
	}
	if _, err := conn.Write([]byte(response)); err != nil {
		t.Fatal(err)
	}
	written := make([]byte, len(response))
	client.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if _, err := io.ReadFull(client, written); err != nil || string(written) != response {
		t.Errorf("the client read %q, %v", written, err)
	}
}

// newTrackedConn returns a connection of a tracker, and the client's side of it.
func newTrackedConn(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	client, accepted := sidecartest.ConnPair(t)
	conn := NewConnTracker(10).Add(accepted)
	t.Cleanup(func() { conn.Close() })
	return conn, client
}
