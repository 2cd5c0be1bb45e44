package soak

import (
	"io"
	"net"
	"os"
	"time"
)

const (
	// incompleteRequest is the text of which such a connection sends a part, or nothing.
	incompleteRequest = "GET /api HTTP/1.1\r\nX-Trace"
	// incompleteConnWait is how long a client waits for a response to an incomplete request, or for the end of its connection.
	incompleteConnWait = 3500 * time.Millisecond
	// incompleteConnPause follows a connection that could not be established.
	incompleteConnPause = 100 * time.Millisecond
)

// openIncompleteConns opens connections one after the other that send nothing or a part of a request, and records when the
// sidecar ends them. The first connections of all numbers are spread over half of the run.
func (r *run) openIncompleteConns(sidecar *sidecar, number int, end time.Time) {
	time.Sleep(time.Duration(number) * r.plan.TrafficDuration / time.Duration(2*r.plan.IncompleteConns))
	part := incompleteRequest[:number%len(incompleteRequest)]
	for time.Until(end) > incompleteConnWait {
		conn, err := net.DialTimeout("tcp", sidecar.config.Listen, time.Second)
		if err != nil {
			time.Sleep(incompleteConnPause)
			continue
		}
		r.recordIncompleteConn(awaitResponseOrClose(conn, sidecar.id, part))
		if part == "" { // one such connection for each number is enough
			return
		}
	}
}

// awaitResponseOrClose sends a part of a request, and waits for a response or the end of the connection.
func awaitResponseOrClose(conn net.Conn, sidecar SidecarID, part string) IncompleteConn {
	defer conn.Close()
	record := IncompleteConn{Sidecar: sidecar, OpenedAt: time.Now()}
	io.WriteString(conn, part)
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
