package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// receivedRequest is a request with the times at which its first and last byte were received.
type receivedRequest struct {
	*http.Request
	firstByteAt, lastByteAt time.Time
}

// isHealthCheckOrLoadReport reports whether the request asks for a health check or the load report. Such a request is
// not an attempt.
func (r *receivedRequest) isHealthCheckOrLoadReport() bool {
	return r.URL.Path == "/alive" || r.URL.Path == "/metrics/load"
}

// readRequests reads requests until the connection ends or stop is closed. It runs in its own goroutine, so that the
// end of the connection is detected at once, even while a response is written.
func readRequests(conn net.Conn, requests chan<- *receivedRequest, stop <-chan struct{}) {
	reader := bufio.NewReader(conn)
	for {
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		select {
		case requests <- request:
		case <-stop:
			return
		}
	}
}

// readRequest reads the next request and discards its body.
func readRequest(reader *bufio.Reader) (*receivedRequest, error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	firstByteAt := time.Now()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	return &receivedRequest{request, firstByteAt, time.Now()}, nil
}
