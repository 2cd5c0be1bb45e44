package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// floodCases are what one client sends at full speed. Each returns the text of the next request.
var floodCases = []struct {
	name string
	next func(number int) string
}{
	{"orders with a body", func(int) string { return orderHead(newTraceID(), contentLength(1000)) + strings.Repeat("b", 1000) }},
	{"orders in chunks", func(int) string {
		return orderHead(newTraceID(), "Transfer-Encoding: chunked\r\n") + "1\r\nb\r\n0\r\n\r\n"
	}},
	{"new classes", func(number int) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: class-%d\r\n\r\n", newTraceID(), number)
	}},
	{"new keys", func(number int) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Object: %x\r\n\r\n",
			newTraceID(), lookupClass, number)
	}},
	{"short deadlines", func(int) string {
		return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In: 1u\r\n\r\n",
			newTraceID(), lookupClass)
	}},
	{"malformed", func(number int) string { return fmt.Sprintf("%d nonsense\r\n\r\n", number) }},
}

// flood sends requests one after another until stop is closed, on a new connection whenever the sidecar closes one.
func flood(address string, next func(int) string, stop <-chan struct{}) {
	number := 0
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			number++
			conn.SetDeadline(time.Now().Add(sidecartest.Timeout))
			if _, err = io.WriteString(conn, next(number)); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err = io.Copy(io.Discard, response.Body); err != nil || response.Close {
				break
			}
		}
		conn.Close()
	}
}

// TestFloodOfOneClientHarmsNoOther guards against one client that sends small or invalid requests at full speed, beside reloads of
// the configuration and calls to the admin address: other clients must be served, and memory must stay under its limit.
func TestFloodOfOneClientHarmsNoOther(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	for _, test := range floodCases {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: readAndRespond(0, 10), upgradable: true})
			stop := make(chan struct{})
			var running sync.WaitGroup
			running.Go(func() { flood(s.address, test.next, stop) })
			running.Go(func() { disturb(s, stop) })
			checkMemoryWithCrowd(t, s, memoryMB, 1, func(conn net.Conn) { io.Copy(io.Discard, conn) })
			close(stop)
			running.Wait()
		})
	}
}

// disturb reloads the configuration and reads the metrics until stop is closed.
func disturb(s *setup, stop <-chan struct{}) {
	const pause = 50 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		s.Signal(syscall.SIGHUP)
		if response, err := http.Get("http://" + s.Config.Admin + "/api/telemetry"); err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
}
