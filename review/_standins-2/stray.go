package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["second-answer"] = playSecondAnswer }

const (
	strayServers  = 6
	strayClients  = 8
	strayDuration = 60 * time.Second
	strayShare    = 0.1 // of the answers come twice
	// The second answer comes strayEarliest to strayLatest after the first.
	strayEarliest = 4 * time.Millisecond
	strayLatest   = 9 * time.Millisecond
)

// playSecondAnswer plays servers of which one answer in ten comes a second time, some milliseconds after the first.
func playSecondAnswer(s *setup) (verdict, error) {
	members, err := startServers(s, strayServers, func(server *server) { server.handle = answerTwice(s.trouble) })
	if err != nil {
		return verdict{}, err
	}
	agent, err := newDiscovery(members)
	if err != nil {
		return verdict{}, err
	}
	side, err := startSidecar(s.dir, agent.listener.Addr().String(), settingsText, members)
	if side != nil {
		defer side.kill()
	}
	if err != nil {
		return verdict{}, err
	}
	var clients sync.WaitGroup
	tally := &strayTally{}
	end := time.Now().Add(strayDuration)
	for i := range strayClients {
		clients.Go(func() { tally.sendLookups(s.rec, side.listen, i*1000000, end) })
	}
	clients.Wait()
	return verdict{
		broken: tally.foreign > 0,
		summary: fmt.Sprintf("%d requests: %d served, %d refused or failed, %d without an answer; %d served with the answer to another request",
			tally.sent, tally.served, tally.other, tally.unanswered, tally.foreign),
	}, nil
}

// startServers starts servers in three zones and returns their list entries.
func startServers(s *setup, count int, prepare func(*server)) ([]member, error) {
	zones := []string{"derby-dc", "nottingham-dc", "leicester-dc"}
	var members []member
	for i := range count {
		server, err := newServer(fmt.Sprintf("s-%d", i), zones[i%len(zones)], s.rec)
		if err != nil {
			return nil, err
		}
		prepare(server)
		go server.serve()
		members = append(members, server.member())
	}
	return members, nil
}

// answerTwice answers each request after some work. If spoil is set, one answer in ten is written again some milliseconds later.
func answerTwice(spoil bool) func(*server, net.Conn, *received) bool {
	return func(s *server, conn net.Conn, request *received) bool {
		time.Sleep(15*time.Millisecond + rand.N(20*time.Millisecond))
		if !writeAnswer(s, conn, request) {
			return false
		}
		if spoil && rand.Float64() < strayShare {
			delay := strayEarliest + rand.N(strayLatest-strayEarliest)
			time.AfterFunc(delay, func() {
				s.rec.logf("server %s: writes the answer to %s a second time, %v after the first", s.id, request.traceID, delay)
				body := answerBody(request.traceID)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			})
		}
		return true
	}
}

type strayTally struct {
	mu                                       sync.Mutex
	sent, served, other, unanswered, foreign int
}

// sendLookups sends one request after the other, with short pauses, over a connection that is kept.
func (t *strayTally) sendLookups(rec *recorder, address string, number int, end time.Time) {
	var conn net.Conn
	var reader *bufio.Reader
	for time.Now().Before(end) {
		time.Sleep(rand.N(60 * time.Millisecond))
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		number++
		if !t.sendLookup(rec, conn, reader, traceID(number)) {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// sendLookup sends a request and reads its answer. It reports whether the connection can be used again.
func (t *strayTally) sendLookup(rec *recorder, conn net.Conn, reader *bufio.Reader, id string) (reusable bool) {
	conn.SetDeadline(time.Now().Add(2600 * time.Millisecond))
	io.WriteString(conn, lookup(id, 2*time.Second))
	response, err := http.ReadResponse(reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case err != nil:
		t.unanswered++
		rec.logf("client: request %s got no whole answer: %v", id, err)
		return false
	case response.StatusCode != http.StatusOK:
		t.other++
		rec.logf("client: request %s got status %d", id, response.StatusCode)
	case string(body) != answerBody(id):
		t.foreign++
		rec.logf("client: request %s got status 200 with the body %q", id, body)
	default:
		t.served++
		rec.logf("client: request %s served", id)
	}
	return !response.Close
}
