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

// failFirstCalls makes the first count calls of a kind fail with err. The end of the test removes the fault plan.
func failFirstCalls(t *testing.T, call fault.Call, count int32, err error) {
	t.Helper()
	failCallsAfter(t, call, 0, count, err)
}

// failCallsAfter lets the first passed calls of a kind pass and makes the next count calls fail with err. The end of
// the test removes the fault plan.
func failCallsAfter(t *testing.T, call fault.Call, passed, count int32, err error) {
	t.Helper()
	var calls atomic.Int32
	fault.SetPlan(&fault.Plan{ErrorFor: func(made fault.Call) error {
		if made != call {
			return nil
		}
		if number := calls.Add(1); number <= passed || number > passed+count {
			return nil
		}
		return err
	}})
	t.Cleanup(func() { fault.SetPlan(nil) })
}

// transientAcceptErrors are the errors that accept(2) documents, except those that mean that the listener can no longer
// be used.
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ESOCKTNOSUPPORT,
	syscall.EPROTONOSUPPORT,
}

// TestAcceptErrorsDoNotEndServing checks that a connection is served although the accepts before it failed.
func TestAcceptErrorsDoNotEndServing(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			inner := sidecartest.Listen(t)
			listener := newTestListener(inner)
			failFirstCalls(t, fault.Accept, 3, errno)
			handler := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }
			server := &http.Server{Handler: http.HandlerFunc(handler)}
			serveErr := make(chan error, 1)
			go func() { serveErr <- server.Serve(listener) }()
			defer server.Close()
			client := http.Client{Timeout: sidecartest.Timeout}
			response, err := client.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Fatalf("request after failed accepts: got error %v, want a response", err)
			}
			response.Body.Close()
			client.CloseIdleConnections()
			select {
			case err := <-serveErr:
				t.Errorf("Serve returned %v, want it to continue", err)
			default:
			}
		})
	}
}

// TestBrokenListenerEndsAccept checks that Accept returns the error of a listener that can no longer be used, and does
// not retry forever.
func TestBrokenListenerEndsAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		listener := newTestListener(sidecartest.Listen(t))
		failFirstCalls(t, fault.Accept, 1, errno)
		if _, err := listener.Accept(); !errors.Is(err, errno) {
			t.Errorf("Accept: got error %v, want %v", err, errno)
		}
	}
}

// TestDrainSurvivesErrors checks that no connection is lost if errors occur while the listen queue is drained.
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

// drainWithErrors drains a listen queue while two calls of a kind fail with errno, and checks that all connections are
// accepted.
func drainWithErrors(t *testing.T, call fault.Call, errno syscall.Errno) {
	const queued = 5
	inner := sidecartest.Listen(t)
	listener := newTestListener(inner)
	dialQueued(t, inner, queued)
	go listener.Drain(t.Context())
	sidecartest.WaitFor(t, "the drain begins", listener.draining.Load)
	// The first two calls pass: of the accepts, that is one that Drain interrupts and one that drains a connection.
	failCallsAfter(t, call, 2, 2, errno)
	for accepted := range queued {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatalf("Accept after %d connections: got error %v, want %d connections", accepted, err, queued)
		}
		defer conn.Close()
	}
}

// TestFailedPeekIsNotAClosedPeer checks that a client is not considered disconnected because of a transient error of
// the peek at its connection.
func TestFailedPeekIsNotAClosedPeer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		conn, _ := newTrackedConn(t)
		failFirstCalls(t, fault.Peek, 1, errno)
		if conn.CheckClientDisconnected() {
			t.Errorf("%v: CheckClientDisconnected: got true, want false", errno)
		}
		failFirstCalls(t, fault.Peek, 1, errno)
		if err := conn.MarkAwaitingResponse(1); err != nil {
			t.Errorf("%v: MarkAwaitingResponse: got error %v, want none", errno, err)
		}
	}
}

// TestInterruptedPeekIsRepeated checks that a peek that a signal interrupts is repeated until it returns the state of
// the connection.
func TestInterruptedPeekIsRepeated(t *testing.T) {
	conn, _ := newTrackedConn(t)
	failFirstCalls(t, fault.Peek, 3, syscall.EINTR)
	if state := socket.Peek(conn.TCPConn); state != socket.Silent {
		t.Errorf("got state %d, want %d (Silent)", state, socket.Silent)
	}
}

// TestFailedPeekClosesNoConnection checks that a connection stays open if the kernel cannot report whether bytes are
// waiting to be read.
func TestFailedPeekClosesNoConnection(t *testing.T) {
	conn, _ := newTrackedConn(t)
	failFirstCalls(t, fault.Peek, 1, syscall.ENOMEM)
	if conn.markClosingIfNoRequest() {
		t.Error("connection marked as closing after a failed peek, want it to stay open")
	}
}

// TestReadsAndWritesGoOnAfterErrors checks that a request and a response are transferred completely although reads and
// writes fail for lack of memory, are interrupted, or transfer only a part of the bytes.
func TestReadsAndWritesGoOnAfterErrors(t *testing.T) {
	plan, err := fault.ParsePlan("seed=7 rate=0.3 short=0.9 read=EINTR,ENOBUFS,ENOMEM write=EINTR,ENOBUFS,ENOMEM")
	if err != nil {
		t.Fatal(err)
	}
	conn, client := newTrackedConn(t)
	fault.SetPlan(plan)
	t.Cleanup(func() { fault.SetPlan(nil) })
	const request = "GET /api HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
	go io.WriteString(client, request)
	read := make([]byte, len(request))
	if _, err := io.ReadFull(conn, read); err != nil || string(read) != request {
		t.Fatalf("the server got %q, error %v, want %q", read, err, request)
	}
	if _, err := conn.Write([]byte(response)); err != nil {
		t.Fatal(err)
	}
	written := make([]byte, len(response))
	client.SetReadDeadline(time.Now().Add(sidecartest.Timeout))
	if _, err := io.ReadFull(client, written); err != nil || string(written) != response {
		t.Errorf("the client got %q, error %v, want %q", written, err, response)
	}
}

// newTrackedConn returns a connection that a new tracker has admitted, and the client's end of it.
func newTrackedConn(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	client, accepted := sidecartest.ConnPair(t)
	conn := NewConnTracker(10).Add(accepted)
	t.Cleanup(func() { conn.Close() })
	return conn, client
}
