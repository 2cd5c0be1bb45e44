package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	cutAnswerLength = 32 << 20    // bytes of the long answer
	cutPieceLength  = 64 << 10    // bytes that the slow client reads at a time
	cutPieceCount   = 9           // how many pieces it reads slowly
	cutPause        = time.Second // pause after each of them
)

// playCutAnswer has a client read a long answer in pieces for some seconds, and then at full speed.
func playCutAnswer() bool {
	const longPath = "/api/long"
	_, members := startServers(9, 0, func(c *serverConn, r *http.Request) bool {
		work(50 * time.Millisecond)
		if r.URL.Path != longPath {
			return c.respond(http.StatusOK, answerTo(r)) == nil
		}
		record("server %s gives the long answer to %s", c.server.id, r.Header.Get("X-Trace-Id"))
		err := c.respond(http.StatusOK, strings.Repeat("x", cutAnswerLength))
		record("server %s: end of the answer, error: %v", c.server.id, err)
		return err == nil
	})
	s := startSidecar(startDiscovery(members), options{orderWindowMS: 3000})

	for range 5 { // short requests first
		c, traceID := dial(s.address), newTraceID()
		io.WriteString(c, lookupHead(traceID))
		got := c.readAnswer(time.Now().Add(3 * time.Second))
		record("lookup %s: status %d, body %q, error: %v", traceID, got.status, got.body, got.err)
		c.Close()
	}

	c, traceID := dial(s.address), newTraceID()
	head := strings.Replace(lookupHead(traceID), "GET /api ", "GET "+longPath+" ", 1)
	_, err := io.WriteString(c, head)
	check(err)
	sentAt := time.Now()
	record("lookup %s for the long answer sent", traceID)
	c.SetReadDeadline(time.Now().Add(60 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		fatal("no head of the answer: %v", err)
	}
	record("head of the answer after %v: status %d, Content-Length %d", time.Since(sentAt), response.StatusCode, response.ContentLength)
	if response.StatusCode != http.StatusOK {
		fatal("the long answer was not served")
	}
	var total int64
	if trouble {
		for range cutPieceCount {
			n, err := io.CopyN(io.Discard, response.Body, cutPieceLength)
			total += n
			record("client has read %d bytes, error: %v; the sidecar's send buffer holds %d bytes for it",
				total, err, sendQueue(s.address, c.LocalAddr().String()))
			time.Sleep(cutPause)
		}
	}
	n, err := io.Copy(io.Discard, response.Body)
	total += n
	record("client has read %d of %d bytes after %v, error: %v", total, cutAnswerLength, time.Since(sentAt), err)
	record("sidecar still running: %v", s.running())
	return err == nil && total == cutAnswerLength
}

// sendQueue returns how many bytes the kernel holds at local that have been written for remote but not acknowledged.
func sendQueue(local, remote string) int64 {
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == procAddress(local) && fields[2] == procAddress(remote) {
			sent, _, _ := strings.Cut(fields[4], ":")
			count, _ := strconv.ParseInt(sent, 16, 64)
			return count
		}
	}
	return -1
}

// procAddress returns an IPv4 address and port in the form of /proc/net/tcp.
func procAddress(address string) string {
	parsed := netip.MustParseAddrPort(address)
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port())
}
