package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to a file, one line an event, with the milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.3f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// member is an entry of the list of servers, in the form of the protocol page.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// list is a list of servers, in the form of the protocol page.
type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is the agent on the sidecar's machine. It answers calls and watches with whole lists.
type discovery struct {
	listener net.Listener
	mu       sync.Mutex
	current  list
	changed  chan struct{}
}

func newDiscovery(members []member) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		listener: listener,
		current:  list{Revision: 1, Complete: true, Members: members},
		changed:  make(chan struct{}),
	}
	go http.Serve(listener, d)
	return d, nil
}

// set replaces the list.
func (d *discovery) set(members []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = list{Revision: d.current.Revision + 1, Complete: true, Members: members}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call at once, and a watch when there is something newer or the time that it may wait has passed.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	over := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for waiting := query.Has("from"); ; {
		d.mu.Lock()
		current, changed := d.current, d.changed
		d.mu.Unlock()
		if !waiting || current.Revision > from {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(current)
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// server is a port node. It answers probes, and passes every other request to handle.
type server struct {
	id       string
	zone     string
	listener net.Listener
	rec      *recorder
	holds    *counter // requests that it holds
	// handle answers a request whose last byte has come. It returns false if the connection must be closed.
	handle func(s *server, conn net.Conn, request *received) bool
	// readBody, if set, reads the body of a request in place of io.ReadAll.
	readBody func(request *http.Request) ([]byte, error)
}

// received is a request that a server has read whole.
type received struct {
	*http.Request
	traceID string
	body    []byte
	at      time.Time // when its last byte was read
}

type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
	return c.n
}

// newServer returns a server on a free port. serve must be called once its fields are set.
func newServer(id, zone string, rec *recorder) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &server{id: id, zone: zone, listener: listener, rec: rec, holds: &counter{}, handle: answerPlainly}, nil
}

func (s *server) member() member {
	return member{
		ID: s.id, HostPort: s.listener.Addr().String(), Locality: s.zone, Flavor: "std-2", Cell: 0, Phase: "ready", Size: 1,
	}
}

func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/alive" || request.URL.Path == "/metrics/load" {
			if !s.answerProbe(conn) {
				return
			}
			continue
		}
		readBody := s.readBody
		if readBody == nil {
			readBody = func(request *http.Request) ([]byte, error) { return io.ReadAll(request.Body) }
		}
		body, err := readBody(request)
		traceID := request.Header.Get("X-Trace-Id")
		if err != nil {
			s.rec.logf("server %s: request %s not received whole: %v", s.id, traceID, err)
			return
		}
		s.rec.logf("server %s: runs request %s (%d bytes of body)", s.id, traceID, len(body))
		s.holds.add(1)
		keep := s.handle(s, conn, &received{Request: request, traceID: traceID, body: body, at: time.Now()})
		s.holds.add(-1)
		if !keep || request.Close {
			return
		}
	}
}

func (s *server) answerProbe(conn net.Conn) bool {
	held := s.holds.add(0)
	report := fmt.Sprintf("TEXT inflight=%d, util=%.2f, qps=%d, queue=%d\n", held, min(1, float64(held)/2), 10, max(0, held-2))
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	return err == nil
}

// answerBody returns the body of the answer to a request.
func answerBody(traceID string) string { return "answer to " + traceID + "\n" }

// answerPlainly works for 20 ms and answers with a Content-Length.
func answerPlainly(s *server, conn net.Conn, request *received) bool {
	time.Sleep(20 * time.Millisecond)
	return writeAnswer(s, conn, request)
}

func writeAnswer(s *server, conn net.Conn, request *received) bool {
	body := answerBody(request.traceID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s.rec.logf("server %s: answered request %s", s.id, request.traceID)
	return err == nil
}

// sidecar is the project's program, as a process of its own.
type sidecar struct {
	listen  string
	command *exec.Cmd
	exited  chan struct{}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settingsText is the settings of a small deployment: those of the example in the wire page, with three zones and two classes.
const settingsText = `{"classes": [
 {"effect": "read_like", "group": "all", "hard_limit_ms": 2000.0, "late_worth": 0.0, "name": "lookup", "on_time_ms": 500.0, "stream": false, "window_ms": 5000.0, "worth": 1.0},
 {"effect": "idempotency_key", "group": "zone", "hard_limit_ms": 1500.0, "late_worth": 0.0, "name": "port-order", "on_time_ms": 800.0, "stream": false, "window_ms": 3000.0, "worth": 5.0}],
 "clients": {"marks_retry": true}, "discovery": "automatic", "family_info": {"warm_keys": true}, "kinds": ["std-2", "slow-2"],
 "limits": {"cancel": true, "conn_idle_ms": 10000.0, "connect_timeout_ms": 100.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 106666, "max_attempts": 5, "max_retry_after_ms": 1000.0, "may_tell": false, "open_cap": 26666, "parallel_tries": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
 "my_number": 0, "over_share_worth": 0.05, "peers_total": 1,
 "penalties": {"connection": 0.0, "cross_zone": 0.014, "discovery": 0.0, "handshake": 0.12, "late_fail": 0.024, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0023, "waste": 0.3},
 "quantum_ms": 5.0, "report": {"fields": ["rif", "busy", "rate", "q"], "via": "pull"},
 "result_mix": {"whole": 0.3, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.3},
 "rules": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.16, "cold_ms": 18000.0, "drain_grace_ms": 250.0, "fall_ms": 1000.0, "fall_multiple": 4.0},
 "service_type": "mesh", "tenants": [{"allowance_per_s": 27.0, "name": "soar-mobile", "share": 1.0}],
 "tier": 0, "tiers": ["port-api"], "value_by": "request", "weights": "rough", "zone": 0, "zones": ["derby-dc", "nottingham-dc", "leicester-dc"]}`

// startSidecar starts the program with the run line of the deploy file, from the root of the repository, and waits until it is
// ready. dir is its private folder; the settings are those of settings.
func startSidecar(dir, discoveryAddress, settings string, members []member) (*sidecar, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    list{Revision: 1, Complete: true, Members: members},
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	scratch := filepath.Join(dir, "tmp")
	if err := os.Mkdir(scratch, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "sidecar.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", "exec bin/cindersaddle")
	command.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+listen, "NODE_DISCOVERY="+discoveryAddress,
		"NODE_CONFIG="+configPath, "TMPDIR="+scratch)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	s := &sidecar{listen: listen, command: command, exited: make(chan struct{})}
	go func() {
		command.Wait()
		close(s.exited)
	}()
	return s, s.awaitReady()
}

func (s *sidecar) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + s.listen + "/up")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	return errors.New("the sidecar did not become ready")
}

// signal sends a signal to the program.
func (s *sidecar) signal(sig syscall.Signal) { s.command.Process.Signal(sig) }

// kill ends the program, if it still runs.
func (s *sidecar) kill() {
	s.command.Process.Kill()
	<-s.exited
}

// traceID returns the id of a request.
func traceID(number int) string { return fmt.Sprintf("%08x%08x", os.Getpid(), number) }

// lookup returns the head of a request of the class that is safe to repeat.
func lookup(id string, expires time.Duration) string {
	return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: lookup\r\nX-Customer: soar-mobile\r\n"+
		"X-Expires-In: %dm\r\n\r\n", id, expires.Milliseconds())
}

// portOrder returns the head of a request of the class that carries a key, with a body of length bytes.
func portOrder(id string, expires time.Duration, length int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: port-order\r\nX-Customer: soar-mobile\r\n"+
		"X-Expires-In: %dm\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", id, expires.Milliseconds(), id, length)
}
