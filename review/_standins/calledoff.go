package main

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	calledOffClients = 8                     // requests that are open at a time
	calledOffBefore  = time.Second           // from the readiness of the new process to the signal
	calledOffAfter   = 6 * time.Second       // traffic after the signal
	crossing         = 20 * time.Millisecond // a close within this time of the request may have crossed it
)

// playCalledOff starts an upgrade and calls it off: the new process gets SIGTERM, the old one no signal. Without the
// disruption the upgrade goes on: the old process gets SIGTERM.
func playCalledOff() bool {
	var served, refused, failed, lost, unreachable atomic.Int64
	_, members := startServers(9, 0, func(c *serverConn, r *http.Request) bool {
		if !readBody(r) {
			return false
		}
		work(time.Duration(70+rand.IntN(50)) * time.Millisecond)
		return c.respond(http.StatusOK, answerTo(r)) == nil
	})
	old := startSidecar(startDiscovery(members), options{orderWindowMS: 3000, upgrades: true})

	var clients sync.WaitGroup
	var stop atomic.Bool
	for range calledOffClients {
		clients.Go(func() {
			var c *clientConn
			for !stop.Load() {
				reused := c != nil
				if !reused {
					conn, err := net.DialTimeout("tcp", old.address, time.Second)
					if err != nil {
						unreachable.Add(1)
						record("no connection to the sidecar: %v", err)
						time.Sleep(200 * time.Millisecond)
						continue
					}
					c = newClientConn(conn)
				}
				traceID := newTraceID()
				if _, err := io.WriteString(c, lookupHead(traceID)); err != nil { // the sidecar has closed an idle connection
					c.Close()
					c = nil
					continue
				}
				sentAt := time.Now()
				got := c.readAnswer(sentAt.Add(2550 * time.Millisecond))
				switch {
				case got.err != nil && reused && time.Since(sentAt) < crossing: // the close crossed the request
				case got.err != nil:
					lost.Add(1)
					record("lookup %s: no whole answer %v after its last byte: %v", traceID, time.Since(sentAt), got.err)
				case got.status == http.StatusOK && got.body == "answer to "+traceID:
					served.Add(1)
				case got.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
					record("lookup %s: status %d, body %q", traceID, got.status, got.body)
				}
				if got.err != nil || got.close {
					c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	second := old.startSecond()
	time.Sleep(calledOffBefore)
	signalled, serving := old, second
	if trouble {
		signalled, serving = second, old
	}
	record("%s: gets SIGTERM", signalled.name)
	check(signalled.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(calledOffAfter)
	stop.Store(true)
	clients.Wait()
	record("%d lookups served, %d refused, %d failed, %d without a whole answer; %d times no connection",
		served.Load(), refused.Load(), failed.Load(), lost.Load(), unreachable.Load())
	record("%s, which got no signal, is running: %v", serving.name, serving.running())
	return serving.running() && lost.Load() == 0 && unreachable.Load() == 0
}
