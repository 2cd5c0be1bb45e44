package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["repeat-read-late"] = playRepeatReadLate }

const (
	lateServers = 9 // in three zones; the first of each zone resets connections, the others read slowly
	lateOrders  = 30
	lateBody    = 60 << 10
	// lateRate is the rate at which the slow servers read, in bytes a second, and latePiece the size of the pieces.
	lateRate  = 64000
	latePiece = 2 << 10
	// lateMemory is how long the servers of a zone remember a key: the window of 500 ms, 50 ms by which each limit on sockets is
	// longer, and 150 ms by which a sidecar may be held up.
	lateMemory = 700 * time.Millisecond
	lateWindow = `"window_ms": 500.0`
)

// lateZone is what the servers of a zone remember of the orders that they have run.
type lateZone struct {
	mu    sync.Mutex
	runAt map[string]time.Time // when the order with a key was run first
	twice int                  // orders that were run a second time
}

// playRepeatReadLate plays servers that reset connections under orders that they have run, beside servers that read slowly.
func playRepeatReadLate(s *setup) (verdict, error) {
	zones := map[string]*lateZone{}
	number := 0
	members, err := startServers(s, lateServers, func(server *server) {
		if zones[server.zone] == nil {
			zones[server.zone] = &lateZone{runAt: map[string]time.Time{}}
		}
		resets := number < 3
		server.handle = runOrder(zones[server.zone], s.trouble && resets)
		if !resets {
			server.readBody = readAtRate
		}
		number++
	})
	if err != nil {
		return verdict{}, err
	}
	agent, err := newDiscovery(members)
	if err != nil {
		return verdict{}, err
	}
	settings := strings.Replace(settingsText, `"window_ms": 3000.0`, lateWindow, 1)
	side, err := startSidecar(s.dir, agent.listener.Addr().String(), settings, members)
	if side != nil {
		defer side.kill()
	}
	if err != nil {
		return verdict{}, err
	}
	var clients sync.WaitGroup
	for i := range lateOrders {
		time.Sleep(200 * time.Millisecond)
		clients.Go(func() { sendOrder(s.rec, side.listen, traceID(i)) })
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // for what the servers still read
	twice, orders := 0, 0
	for _, zone := range zones {
		zone.mu.Lock()
		twice += zone.twice
		orders += len(zone.runAt)
		zone.mu.Unlock()
	}
	return verdict{
		broken:  twice > 0,
		summary: fmt.Sprintf("%d orders: %d run, %d run a second time after the window", lateOrders, orders, twice),
	}, nil
}

// readAtRate reads a body at lateRate.
func readAtRate(request *http.Request) ([]byte, error) {
	var body bytes.Buffer
	for begin := time.Now(); ; {
		_, err := io.CopyN(&body, request.Body, latePiece)
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(body.Len()) * time.Second / lateRate)))
	}
}

// runOrder runs an order unless its key is remembered. If resets is set, the connection is reset 50 ms after the run.
func runOrder(zone *lateZone, resets bool) func(*server, net.Conn, *received) bool {
	return func(s *server, conn net.Conn, request *received) bool {
		key := request.Header.Get("Idempotency-Key")
		zone.mu.Lock()
		first, known := zone.runAt[key]
		since := request.at.Sub(first)
		switch {
		case !known:
			zone.runAt[key] = request.at
			s.rec.logf("server %s (%s): RUNS order %s", s.id, s.zone, request.traceID)
		case since <= lateMemory:
			s.rec.logf("server %s (%s): drops the repeat of order %s, %v after it was run", s.id, s.zone, request.traceID, since)
		default:
			zone.twice++
			s.rec.logf("server %s (%s): RUNS order %s A SECOND TIME, %v after it was run", s.id, s.zone, request.traceID, since)
		}
		zone.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		if resets {
			s.rec.logf("server %s: resets the connection under order %s", s.id, request.traceID)
			conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return writeAnswer(s, conn, request)
	}
}

// sendOrder sends an order and reads its answer.
func sendOrder(rec *recorder, address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		rec.logf("client: order %s: %v", id, err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2100 * time.Millisecond))
	io.WriteString(conn, portOrder(id, 1500*time.Millisecond, lateBody)+strings.Repeat(".", lateBody))
	rec.logf("client: order %s sent", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.logf("client: order %s got no answer: %v", id, err)
		return
	}
	rec.logf("client: order %s got status %d", id, response.StatusCode)
}
