package soak

import (
	"io"
	"net"
	"os"
	"time"
)

const (
	// incompleteRequest is the beginning of a request. A connection without a complete request sends a prefix of it,
	// which may be empty.
	incompleteRequest = "GET /api HTTP/1.1\r\nX-Trace"
	// incompleteConnWait is how long a client waits for a response to an incomplete request or for the connection to
	// close.
	incompleteConnWait = 3500 * time.Millisecond
	// incompleteConnPause is the pause after a connection that could not be established.
	incompleteConnPause = 100 * time.Millisecond
	// incompleteConnConnectTimeout limits how long establishing such a connection may take.
	incompleteConnConnectTimeout = time.Second
)

// openIncompleteConns opens connections one after the other, sends a part of a request or nothing on each, and records
// when the sidecar ends them. The number of the caller decides how much is sent. The first connections of all numbers
// are spread over half of the run.
func (r *run) openIncompleteConns(sidecar *sidecar, number int, end time.Time) {
	time.Sleep(time.Duration(number) * r.plan.TrafficDuration / time.Duration(2*r.plan.IncompleteConns))
	prefix := incompleteRequest[:number%len(incompleteRequest)]
	for time.Until(end) > incompleteConnWait {
		conn, err := net.DialTimeout("tcp", sidecar.config.Listen, incompleteConnConnectTimeout)
		if err != nil {
			time.Sleep(incompleteConnPause)
			continue
		}
		r.recordIncompleteConn(awaitResponseOrClose(conn, sidecar.id, prefix))
		if prefix == "" { // one connection without any byte is enough for each number
			return
		}
	}
}

// awaitResponseOrClose sends a prefix of a request, and waits until a response arrives or the connection ends, but not
// longer than incompleteConnWait.
func awaitResponseOrClose(conn net.Conn, sidecar SidecarID, prefix string) IncompleteConn {
	defer conn.Close()
	record := IncompleteConn{Sidecar: sidecar, OpenedAt: time.Now()}
	io.WriteString(conn, prefix)
	conn.SetReadDeadline(time.Now().Add(incompleteConnWait))
	if _, err := conn.Read(make([]byte, 1)); !os.IsTimeout(err) {
		record.EndedAt = time.Now()
	}
	return record
}

func (r *run) recordIncompleteConn(conn IncompleteConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.IncompleteConns = append(r.records.IncompleteConns, conn)
}
