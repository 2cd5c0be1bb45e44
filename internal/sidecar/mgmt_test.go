package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// figure reads one figure at the second address.
func (n *node) figure(name string) string {
	n.t.Helper()
	resp, text := n.call("GET", "/api/telemetry")
	if resp.StatusCode != 200 {
		n.t.Fatalf("figures: %d", resp.StatusCode)
	}
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, "edge_node_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "absent"
}

func (n *node) ended3(class string) string {
	all := make([]string, 0, 3)
	for _, result := range []string{"completed", "rejected", "failed"} {
		all = append(all, n.figure(fmt.Sprintf("downstream_requests_total{lane=%q,result=%q}", class, result)))
	}
	return strings.Join(all, " ")
}

func (n *node) call(method, path string) (*http.Response, string) {
	n.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.second+path, nil)
	if err != nil {
		n.t.Fatal(err)
	}
	return n.do(req)
}

func (n *node) untilReady() {
	n.t.Helper()
	until(n.t, "ready", func() bool { resp, _ := n.call("GET", "/api/ready"); return resp.StatusCode == 200 })
}

func withMgmt(cfg *Config) *Config {
	cfg.Mgmt = "127.0.0.1:0"
	return cfg
}

// The figures are what was really sent and answered.
func TestFiguresCountWhatHappened(t *testing.T) {
	s := newScript(t, say(200, "ok"), say(500, ""), say(503, "", "X-Never-Ran: 1"), say(200, "ok"))
	n := startNode(t, withMgmt(testConfig(t, ready("s-1", s.addr))))
	if got := n.ended3("read") + " " + n.ended3("pay") + " " + n.figure("upstream_requests_total"); got != "0 0 0 0 0 0 0" {
		t.Errorf("at the start: %s", got)
	}
	if resp, _ := n.do(n.request("read")); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	n.do(n.request("pay")) // may have run: failed
	req := n.request("pay")
	req.Header.Set(expiryHeader, "300m")
	if resp, _ := n.do(req); resp.StatusCode != 503 { // never ran
		t.Fatalf("answered %d", resp.StatusCode)
	}
	bad := n.request("pay")
	bad.Header.Set("X-Customer", "x")
	n.do(bad) // no request at all
	for name, want := range map[string]string{"read": "1 0 0", "pay": "0 1 1", "reserve": "0 0 0"} {
		if got := n.ended3(name); got != want {
			t.Errorf("%s: completed, rejected, failed are %s, want %s", name, got, want)
		}
	}
	if got := n.figure("upstream_requests_total"); got != fmt.Sprint(len(requestsOf(s))) {
		t.Errorf("%s attempts, the server saw %d", got, len(requestsOf(s)))
	}
	if got := n.figure("pending"); got != "0" {
		t.Errorf("pending: %s", got)
	}
}

// An open request is pending until it ends, and so is one whose client goes away.
func TestFiguresFollowOpenRequests(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	defer close(release)
	s := newScript(t, hold(started, release))
	n := startNode(t, withMgmt(testConfig(t, ready("s-1", s.addr))))
	c := n.dial()
	n.say(c, n.raw("read"))
	next(t, started)
	if got := n.figure("pending"); got != "1" {
		t.Errorf("pending: %s", got)
	}
	c.Close()
	until(t, "the request ends", func() bool { return n.figure("pending") == "0" })
	if got := n.ended3("read"); got != "0 0 0" {
		t.Errorf("counted although its client was gone: %s", got)
	}
}

// Servers that drain are listed and avoided.
func TestFiguresTellOfServers(t *testing.T) {
	draining := ready("s-2", "127.0.0.1:2")
	draining.Phase = "draining"
	n := startNode(t, withMgmt(testConfig(t, ready("s-1", "127.0.0.1:1"), draining, ready("s-3", "127.0.0.1:3"))))
	until(t, "the list is told", func() bool { return n.figure("members") == "3" })
	if got := n.figure("members_unavailable"); got != "1" {
		t.Errorf("unavailable: %s", got)
	}
}

func TestSecondAddressTurnsAway(t *testing.T) {
	s := newScript(t, say(200, ""))
	n := startNode(t, withMgmt(testConfig(t, ready("s-1", s.addr))))
	n.untilReady()
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/api/ready", 200}, {"GET", "/api/telemetry", 200}, {"POST", "/api/ready", 405},
		{"PUT", "/api/telemetry", 405}, {"GET", "/api", 404}, {"GET", "/up", 404}, {"POST", "/", 404},
	} {
		if resp, _ := n.call(c.method, c.path); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s %s: %d, closing: %v", c.method, c.path, resp.StatusCode, resp.Close)
		}
	}
	for _, text := range []string{"\x00\x01\r\n\r\n", "GET\r\n\r\n", "GET /api/ready HTTP/1.1\r\nHost\r\n\r\n"} {
		c := n.dialTo(n.second)
		n.say(c, text)
		if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 400") {
			t.Errorf("%q got %q", text, got)
		}
	}
	if resp, _ := n.do(n.request("read")); resp.StatusCode != 200 {
		t.Errorf("the clients' side answers %d", resp.StatusCode)
	}
}

func (n *node) dialTo(addr string) net.Conn {
	n.t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// Callers that hold a connection and never make a call must not keep others from theirs.
func TestSecondAddressOutlivesIdleCallers(t *testing.T) {
	n := startNode(t, withMgmt(testConfig(t, ready("s-1", "127.0.0.1:1"))))
	n.untilReady()
	for i := range 5 * mgmtCallers {
		c := n.dialTo(n.second)
		n.say(c, "GET /api/ready HTTP/1.1\r\nX-Ha"[:i%25])
	}
	start := time.Now()
	if resp, _ := n.call("GET", "/api/ready"); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if took := time.Since(start); took >= mgmtHeadTimeout {
		t.Errorf("answered after %v, when the idle ones had timed out", took)
	}
}

// A process is ready once it has servers to send to, and no longer when it ends.
func TestReadyTellsOfStartAndEnd(t *testing.T) {
	started, release := make(chan bool, 1), make(chan bool)
	s := newScript(t, hold(started, release))
	n := startNode(t, withMgmt(testConfig(t)))
	if resp, _ := n.call("GET", "/api/ready"); resp.StatusCode != 503 {
		t.Errorf("without servers: %d", resp.StatusCode)
	}
	next(t, n.roster.calls)
	n.roster.lists <- list{Revision: 42, Complete: true, Members: []member{ready("s-1", s.addr)}}
	next(t, n.roster.calls)
	n.untilReady()
	c := n.dial()
	n.say(c, n.raw("read"))
	next(t, started)
	n.end()
	until(t, "not ready", func() bool { resp, _ := n.call("GET", "/api/ready"); return resp.StatusCode == 503 })
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("what was open: %v %v", resp, err)
	}
}

// Classes that are gone are told of for long, not for ever.
func TestFiguresAreBounded(t *testing.T) {
	f := &figures{}
	first := f.lane("kept")
	for i := range 3 * mostLanes {
		f.trim([]*lane{first, f.lane(fmt.Sprint(i))})
	}
	if len(f.lanes) != mostLanes || f.lanes[0] != first || f.lanes[1].class != fmt.Sprint(2*mostLanes+1) {
		t.Errorf("%d classes, the second is %q", len(f.lanes), f.lanes[1].class)
	}
}

// A class may have any name; the text stays what a reader of the format takes.
func TestFiguresEscapeNames(t *testing.T) {
	f := &figures{}
	f.lane("a\"b\\c\nd").count(429)
	var text bytes.Buffer
	f.writeTo(&text)
	if want := `lane="a\"b\\c\nd",result="rejected"} 1` + "\n"; !strings.Contains(text.String(), want) {
		t.Errorf("got %s", text.String())
	}
}
