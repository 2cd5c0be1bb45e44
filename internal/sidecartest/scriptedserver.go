package sidecartest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Step responds to one request on a connection. It reports whether the server keeps the connection open.
type Step func(net.Conn) bool

// ScriptedServer is an HTTP server that runs one Step for each request, after it has read the complete request. The
// steps run in the order of the requests on all connections. The last step also handles all further requests.
type ScriptedServer struct {
	Addr string

	mu        sync.Mutex
	requests  []ReceivedRequest
	connCount int // number of connections accepted so far
}

// ReceivedRequest is a complete request that a server received.
type ReceivedRequest struct {
	*http.Request
	BodyText string // complete body; Request.Body has already been read
}

// NewScriptedServer starts a server with at least one step. The server and its connections are closed at the end of the
// test.
func NewScriptedServer(t *testing.T, steps ...Step) *ScriptedServer {
	t.Helper()
	server := &ScriptedServer{}
	listener := Listen(t)
	server.Addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			server.countConn()
			go server.serve(conn, steps)
		}
	}()
	return server
}

// countConn counts an accepted connection.
func (server *ScriptedServer) countConn() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.connCount++
}

// serve reads requests and runs their steps until the client or a step ends the connection.
func (server *ScriptedServer) serve(conn net.Conn, steps []Step) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		step := server.addRequest(ReceivedRequest{request, string(body)}, steps)
		if !step(conn) {
			return
		}
	}
}

// addRequest records a request and returns the step that responds to it.
func (server *ScriptedServer) addRequest(request ReceivedRequest, steps []Step) Step {
	server.mu.Lock()
	defer server.mu.Unlock()
	step := steps[min(len(server.requests), len(steps)-1)]
	server.requests = append(server.requests, request)
	return step
}

// Requests returns the requests received so far, in the order of their arrival.
func (server *ScriptedServer) Requests() []ReceivedRequest {
	server.mu.Lock()
	defer server.mu.Unlock()
	return append([]ReceivedRequest(nil), server.requests...)
}

// ConnCount returns the number of connections accepted so far.
func (server *ScriptedServer) ConnCount() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.connCount
}

// Respond returns a step that writes a complete response and keeps the connection open. Each header is a complete line
// without CRLF.
func Respond(status int, body string, headers ...string) Step {
	return func(conn net.Conn) bool {
		head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
		for _, header := range headers {
			head += header + "\r\n"
		}
		_, err := io.WriteString(conn, head+"\r\n"+body)
		return err == nil
	}
}

// RespondRawAndClose returns a step that writes a text, such as part of a response, and closes the connection.
func RespondRawAndClose(text string) Step {
	return func(conn net.Conn) bool {
		io.WriteString(conn, text)
		return false
	}
}

// RespondRaw returns a step that writes a text, such as part of a response or an invalid one, and keeps the connection
// open.
func RespondRaw(text string) Step {
	return func(conn net.Conn) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// repeatsPerWrite is the number of times that RespondEndlessly repeats its text in one write.
const repeatsPerWrite = 100

// RespondEndlessly returns a step that writes a start and then writes a text repeatedly until the client closes the
// connection.
func RespondEndlessly(start, repeated string) Step {
	return func(conn net.Conn) bool {
		for text := start; ; text = strings.Repeat(repeated, repeatsPerWrite) {
			if _, err := io.WriteString(conn, text); err != nil {
				return false
			}
		}
	}
}
