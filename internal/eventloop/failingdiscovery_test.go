package eventloop

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"cindersaddle/internal/membership"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/timing"
)

// failureMode is how discovery fails during an outage.
type failureMode string

// The failure modes. A call that has no response when the outage begins, or is made during the outage, is handled
// according to the mode: it gets no other response after the outage.
const (
	noResponse        failureMode = "no response"        // accepts calls and does not respond
	unreachable       failureMode = "unreachable"        // connections are neither accepted nor refused
	connRefused       failureMode = "connection refused" // by the operating system
	unavailableStatus failureMode = "status 503"         // in response to every call
	connClosed        failureMode = "connection closed"  // after each call
	truncatedResponse failureMode = "truncated response" // starts a response and sends nothing more
	lateResponse      failureMode = "late response"      // sends the old list after ten seconds
)

var failureModes = []failureMode{
	noResponse, unreachable, connRefused, unavailableStatus, connClosed, truncatedResponse, lateResponse,
}

// failingDiscovery is a stand-in for discovery with an outage from downAt to upAt. It serves listBefore before the
// outage and listAfter after it; an endpoint is draining in listAfter.
type failingDiscovery struct {
	downAt, upAt          time.Time
	mode                  failureMode
	listBefore, listAfter membership.EndpointList
	ctx                   context.Context
}

func (d *failingDiscovery) isDown() bool {
	now := time.Now()
	return !now.Before(d.downAt) && now.Before(d.upAt)
}

// dial opens a connection to the stand-in, or fails as its failure mode requires.
func (d *failingDiscovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.isDown() && d.mode == connRefused {
		return nil, syscall.ECONNREFUSED
	}
	if d.isDown() && d.mode == unreachable {
		dialer := &sidecartest.LossyDialer{ReachableAt: d.upAt, Accept: d.serve}
		return dialer.Dial(ctx, network, addr)
	}
	clientConn, serverConn := net.Pipe()
	go d.serve(serverConn)
	return clientConn, nil
}

// serve handles the calls on one connection.
func (d *failingDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil || !d.respond(conn, req) {
			return
		}
	}
}

// respond handles a call, and reports whether the connection stays open.
func (d *failingDiscovery) respond(conn net.Conn, req *http.Request) bool {
	if time.Now().Before(d.downAt) {
		query := req.URL.Query()
		if !query.Has("from") {
			return writeList(conn, d.listBefore)
		}
		hold, _ := time.ParseDuration(query.Get("hold_ms") + "ms")
		if time.Now().Add(hold).Before(d.downAt) {
			timing.Sleep(d.ctx, hold)
			return writeList(conn, membership.EndpointList{Revision: d.listBefore.Revision})
		}
		timing.Sleep(d.ctx, time.Until(d.downAt))
	}
	if d.isDown() {
		return d.fail(conn)
	}
	if req.URL.Query().Get("from") == fmt.Sprint(d.listAfter.Revision) {
		<-d.ctx.Done()
		return false
	}
	return writeList(conn, d.listAfter)
}

// fail handles a call during the outage, and reports whether the connection stays open.
func (d *failingDiscovery) fail(conn net.Conn) bool {
	switch d.mode {
	case connClosed:
		return false
	case unavailableStatus:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case truncatedResponse:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{")
	case lateResponse:
		timing.Sleep(d.ctx, 10*time.Second)
		return writeList(conn, d.listBefore)
	}
	<-d.ctx.Done()
	return false
}

// writeList sends a list as the response to a call, and reports whether that succeeded.
func writeList(conn net.Conn, list membership.EndpointList) bool {
	body, err := json.Marshal(list)
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	return err == nil
}
