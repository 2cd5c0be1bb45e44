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

// Step responds to one request on a connection and reports whether the connection goes on; otherwise it is closed.
type Step func(net.Conn) bool

// ScriptedServer is an HTTP server on raw connections that runs one step for each request, after it has read the request.
// The last step is repeated.
type ScriptedServer struct {
	Addr string

	mu       sync.Mutex
	requests []ReceivedRequest
	conns    int // number of accepted connections
}

// ReceivedRequest is a complete request that a server received.
type ReceivedRequest struct {
	*http.Request
	BodyText string // the body, which Request.Body no longer has
}

// NewScriptedServer starts a server, which is stopped with its connections at the end of the test.
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

func (server *ScriptedServer) countConn() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.conns++
}

// serve reads requests until the client or a step ends the connection.
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
		step := server.record(ReceivedRequest{request, string(body)}, steps)
		if !step(conn) {
			return
		}
	}
}

// record adds a request and returns the step for it.
func (server *ScriptedServer) record(request ReceivedRequest, steps []Step) Step {
	server.mu.Lock()
	defer server.mu.Unlock()
	step := steps[min(len(server.requests), len(steps)-1)]
	server.requests = append(server.requests, request)
	return step
}

// Requests returns the requests received so far, in their order.
func (server *ScriptedServer) Requests() []ReceivedRequest {
	server.mu.Lock()
	defer server.mu.Unlock()
	return append([]ReceivedRequest(nil), server.requests...)
}

// ConnCount returns the number of connections accepted so far.
func (server *ScriptedServer) ConnCount() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.conns
}

// Respond returns a step that writes a complete response and keeps the connection.
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

// RespondRawAndClose returns a step that writes part of a response and closes the connection.
func RespondRawAndClose(part string) Step {
	return func(conn net.Conn) bool {
		io.WriteString(conn, part)
		return false
	}
}

// RespondRaw returns a step that writes part of a response, or invalid text, and keeps the connection.
func RespondRaw(text string) Step {
	return func(conn net.Conn) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// endlessRepeats is the number of times that RespondEndlessly repeats its text in each write.
const endlessRepeats = 100

// RespondEndlessly returns a step that writes a start and then repeats a text until the client closes the connection.
func RespondEndlessly(start, repeated string) Step {
	return func(conn net.Conn) bool {
		for text := start; ; text = strings.Repeat(repeated, endlessRepeats) {
			if _, err := io.WriteString(conn, text); err != nil {
				return false
			}
		}
	}
}
