package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// lastRequest numbers the requests.
var lastRequest atomic.Int64

// newTraceID returns an X-Trace-Id that no request has had.
func newTraceID() string { return fmt.Sprintf("%016x", 0x1b1f03aa00000000+lastRequest.Add(1)) }

// lookupHead returns the head of a lookup.
func lookupHead(traceID string) string {
	return "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceID +
		"\r\nX-Qos: lookup\r\nX-Customer: soar-mobile\r\nX-Expires-In: 2000m\r\n\r\n"
}

// orderHead returns the head of a port-order with a body of the given length.
func orderHead(traceID string, length int) string {
	return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceID +
		"\r\nX-Qos: port-order\r\nX-Customer: wreake-tel\r\nX-Expires-In: 1500m\r\nIdempotency-Key: key-" + traceID +
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", length)
}

// clientConn is a connection of a client to the sidecar.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// dial connects to the sidecar.
func dial(address string) *clientConn {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	check(err)
	return newClientConn(conn)
}

// answer is what a client got for a request.
type answer struct {
	status int
	body   string
	err    error // why there is no whole answer
	close  bool  // the sidecar announced that it closes the connection
}

// readAnswer reads a short answer until the deadline.
func (c *clientConn) readAnswer(deadline time.Time) answer {
	c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: strings.TrimSpace(string(body)), err: err, close: response.Close}
}

// unacknowledged returns how many of the written bytes the sidecar's machine has not acknowledged (SIOCOUTQ).
func (c *clientConn) unacknowledged() int {
	const siocOutQ = 0x5411
	var count int32
	raw, err := c.SyscallConn()
	check(err)
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, siocOutQ, uintptr(unsafe.Pointer(&count)))
	})
	return int(count)
}
