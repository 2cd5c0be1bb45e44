package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// receivedRequest is a request with the times of its bytes.
type receivedRequest struct {
	*http.Request
	firstByteAt, lastByteAt time.Time
}

// isHealthCheck reports whether a request is one for health or the load report, which is no attempt.
func (r *receivedRequest) isHealthCheck() bool {
	return r.URL.Path == "/alive" || r.URL.Path == "/metrics/load"
}

// readRequests reads requests until the connection ends or stop is closed. As it reads while a response is written, it notices
// the end of the connection at once.
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

// readRequest reads a request and discards its body.
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
