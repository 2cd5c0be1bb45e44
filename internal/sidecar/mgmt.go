package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	mgmtCallers     = 16              // connections at the second address; their descriptors are set apart
	mgmtHeadTimeout = 2 * time.Second // a caller that stalls is owed a close within 3 s
	mgmtTimeout     = 3 * time.Second // for all of a call
)

// mgmt is the second address: whether this process is ready, and the figures. It has a server and descriptors of its
// own and asks the loop nothing, so that it answers however busy the other side is.
type mgmt struct {
	figures *figures
	ready   func() bool
}

func (m *mgmt) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var answer func(http.ResponseWriter)
	switch r.URL.Path {
	case "/api/ready":
		answer = m.tellReady
	case "/api/telemetry":
		answer = m.tellFigures
	default:
		http.Error(w, "no such path", http.StatusNotFound)
		return
	}
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "this path wants GET", http.StatusMethodNotAllowed)
		return
	}
	answer(w)
}

func (m *mgmt) tellReady(w http.ResponseWriter) {
	if !m.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (m *mgmt) tellFigures(w http.ResponseWriter) {
	var text bytes.Buffer
	m.figures.writeTo(&text)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(text.Len()))
	w.Write(text.Bytes())
}

// run serves the second address until ctx ends.
func (m *mgmt) run(ctx context.Context, ln net.Listener, log *slog.Logger) {
	server := &http.Server{
		Handler:           m,
		ReadHeaderTimeout: mgmtHeadTimeout,
		ReadTimeout:       mgmtTimeout,
		WriteTimeout:      mgmtTimeout,
		MaxHeaderBytes:    4 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	server.SetKeepAlivesEnabled(false) // one call to a connection
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(&callers{Listener: ln, most: mgmtCallers}); ctx.Err() == nil {
		log.Error("second address", "error", fmt.Errorf("serve: %w", err))
	}
}

// callers is a listener that holds few connections: for a new one the oldest has to go. A whole call is answered at
// once, so that the oldest is one that never made a call.
type callers struct {
	net.Listener
	most int

	mu   sync.Mutex
	open []*caller // the oldest first
}

// caller is a connection to the second address.
type caller struct {
	net.Conn
	owner *callers
}

func (cs *callers) Accept() (net.Conn, error) {
	for {
		c, err := cs.Listener.Accept()
		if exhausted(err) && cs.evict() {
			continue
		}
		if err != nil {
			return nil, err
		}
		return cs.add(c), nil
	}
}

func (cs *callers) add(c net.Conn) net.Conn {
	cl := &caller{c, cs}
	cs.mu.Lock()
	cs.open = append(cs.open, cl)
	full := len(cs.open) > cs.most
	cs.mu.Unlock()
	if full {
		cs.evict()
	}
	return cl
}

// evict closes the oldest connection and reports whether there was one.
func (cs *callers) evict() bool {
	cs.mu.Lock()
	var oldest *caller
	if len(cs.open) > 0 {
		oldest = cs.open[0]
	}
	cs.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.Close()
	return true
}

func (c *caller) Close() error {
	cs := c.owner
	cs.mu.Lock()
	for i, o := range cs.open {
		if o == c {
			cs.open = append(cs.open[:i], cs.open[i+1:]...)
			break
		}
	}
	cs.mu.Unlock()
	return c.Conn.Close()
}
