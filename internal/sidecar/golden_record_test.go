package sidecar

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"cindersaddle/internal/sidecartest"
)

// goldenTranscript collects the messages of one case in the format of the golden file.
type goldenTranscript struct{ text strings.Builder }

// addMessage appends a title and the normalised message, with each line quoted.
func (transcript *goldenTranscript) addMessage(title, message string) {
	transcript.addLine("--- " + title)
	for line := range strings.Lines(normalise(message)) {
		quoted := strconv.Quote(line)
		transcript.addLine(strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`))
	}
}

// addMessageWithLongBody appends a title, the head of a message, and a summary of its body: the framing, the length
// and the checksum. The framing of a chunked body is removed first.
func (transcript *goldenTranscript) addMessageWithLongBody(t *testing.T, title, message string) {
	t.Helper()
	head, body, _ := strings.Cut(message, "\r\n\r\n")
	transcript.addMessage(title, head+"\r\n\r\n")
	framing := "as it is"
	if isChunked(head) {
		decoded, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		framing, body = "in chunks", string(decoded)
	}
	transcript.addLine(fmt.Sprintf("(body %s: %d bytes, SHA-256 %x)", framing, len(body), sha256.Sum256([]byte(body))))
}

// addLine appends a line without changes.
func (transcript *goldenTranscript) addLine(line string) { transcript.text.WriteString(line + "\n") }

// normalisations replace the parts of messages that differ from run to run.
var normalisations = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`(?m)^(X-Expires-In: )[0-9]+(u\r)$`), "${1}(TIME)${2}"},
	{regexp.MustCompile(`(?m)^(Date: )[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9:]{8} GMT\r$`), "${1}(DATE)\r"},
	{regexp.MustCompile(`(?m)^(Retry-After: )[0-9]+\.[0-9]{3}\r$`), "${1}(SECONDS)\r"},
	{regexp.MustCompile(`127\.0\.0\.1:[0-9]+`), "(ADDRESS)"},
}

// normalise applies all normalisations to a message.
func normalise(message string) string {
	for _, rule := range normalisations {
		message = rule.pattern.ReplaceAllString(message, rule.replacement)
	}
	return message
}

// isChunked reports whether the head of a message announces a chunked body.
func isChunked(head string) bool {
	return strings.Contains(strings.ToLower(head), "\r\ntransfer-encoding: chunked")
}

// contentLengthPattern matches the Content-Length in the head of a message.
var contentLengthPattern = regexp.MustCompile(`(?i)\r\ncontent-length: ([0-9]+)`)

// isCompleteMessage reports whether message is a complete request, or a complete response after any interim responses.
// It is always false for a response without a length, which ends with its connection.
func isCompleteMessage(message string) bool {
	head, body, found := strings.Cut(message, "\r\n\r\n")
	switch length := contentLengthPattern.FindStringSubmatch(head); {
	case !found:
		return false
	case strings.HasPrefix(head, "HTTP/1.1 1"):
		return isCompleteMessage(body)
	case isChunked(head):
		return strings.HasSuffix("\r\n"+body, "\r\n0\r\n\r\n")
	case length != nil:
		n, err := strconv.Atoi(length[1])
		return err == nil && len(body) >= n
	}
	return !strings.HasPrefix(head, "HTTP/")
}

// readUntil reads from a connection until complete returns true for the text, or a read fails.
func readUntil(conn net.Conn, complete func(string) bool) (string, error) {
	var got bytes.Buffer
	buffer := make([]byte, 64<<10)
	for !complete(got.String()) {
		n, err := conn.Read(buffer)
		got.Write(buffer[:n])
		if err != nil {
			return got.String(), err
		}
	}
	return got.String(), nil
}

// recordedRequest is the text of a request and the address of the server that received it.
type recordedRequest struct{ serverAddr, text string }

// recordingServers is a group of servers that record the bytes of each request. They share one list of steps: each
// request runs the next step, whichever server receives it.
type recordingServers struct {
	requests chan recordedRequest
	steps    chan sidecartest.Step
}

// newRecordingServers returns a group without servers; startServer adds them.
func newRecordingServers(steps ...sidecartest.Step) *recordingServers {
	servers := &recordingServers{requests: make(chan recordedRequest, 100), steps: make(chan sidecartest.Step, len(steps))}
	for _, step := range steps {
		servers.steps <- step
	}
	return servers
}

// startServer adds a server to the group and returns its address.
func (servers *recordingServers) startServer(t *testing.T) string {
	t.Helper()
	ln := sidecartest.Listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go servers.serve(conn)
		}
	}()
	return ln.Addr().String()
}

// serve runs a step for each request on a connection. When no steps are left, requests are recorded and get no
// response.
func (servers *recordingServers) serve(conn net.Conn) {
	defer conn.Close()
	for {
		text, err := readUntil(conn, isCompleteMessage)
		if err != nil {
			return
		}
		servers.requests <- recordedRequest{conn.LocalAddr().String(), text}
		select {
		case step := <-servers.steps:
			if !step(conn) {
				return
			}
		default:
			io.Copy(io.Discard, conn) // until the sidecar closes the connection
			return
		}
	}
}

// respondRaw returns a step that writes text without changes and keeps the connection.
func respondRaw(text string) sidecartest.Step {
	return func(conn net.Conn) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// respondRawAndClose returns a step that writes text without changes and closes the connection. TCP_CORK puts the text
// and the end of the connection into one segment, because whether the sidecar buffers a response without a length
// depends on how soon its end arrives.
func respondRawAndClose(text string) sidecartest.Step {
	return func(conn net.Conn) bool {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			return false
		}
		raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
		io.WriteString(conn, text)
		return false
	}
}
