package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pause-in-answer"] = playPauseInAnswer }

const (
	pauseServers  = 6 // the first of them pauses
	pauseRequests = 24
	pauseAnswer   = 200 << 10 // bytes of an answer
	pauseLength   = 6 * time.Second
)

// playPauseInAnswer plays a server that takes some seconds between the two halves of a long answer.
func playPauseInAnswer(s *setup) (verdict, error) {
	number := 0
	members, err := startServers(s, pauseServers, func(server *server) {
		server.handle = answerInHalves(s.trouble && number == 0)
		number++
	})
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
	tally := &pauseTally{}
	var clients sync.WaitGroup
	for i := range pauseRequests {
		time.Sleep(100 * time.Millisecond)
		clients.Go(func() { tally.send(s.rec, side.listen, traceID(i)) })
	}
	clients.Wait()
	return verdict{
		broken: tally.cut > 0,
		summary: fmt.Sprintf("%d requests with long answers: %d served whole, %d refused or failed, %d cut off while the server still gave",
			pauseRequests, tally.served, tally.other, tally.cut),
	}, nil
}

// longAnswer returns the body of the long answer to a request.
func longAnswer(traceID string) string {
	body := answerBody(traceID)
	return body + strings.Repeat(".", pauseAnswer-len(body))
}

// answerInHalves gives a long answer. If pauses is set, the second half comes after pauseLength.
func answerInHalves(pauses bool) func(*server, net.Conn, *received) bool {
	return func(s *server, conn net.Conn, request *received) bool {
		time.Sleep(20 * time.Millisecond)
		body := longAnswer(request.traceID)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		if pauses {
			s.rec.logf("server %s: has written half of the answer to %s, pauses for %v", s.id, request.traceID, pauseLength)
			time.Sleep(pauseLength)
		}
		_, err := io.WriteString(conn, body[len(body)/2:])
		s.rec.logf("server %s: writes the rest of the answer to %s: error %v", s.id, request.traceID, err)
		return err == nil
	}
}

type pauseTally struct {
	mu                 sync.Mutex
	served, other, cut int
}

// send sends a request. Its client reads the answer as fast as it comes, and waits for its end.
func (t *pauseTally) send(rec *recorder, address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		rec.logf("client: request %s: %v", id, err)
		return
	}
	defer conn.Close()
	io.WriteString(conn, lookup(id, 2*time.Second))
	sentAt := time.Now()
	conn.SetReadDeadline(sentAt.Add(30 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.logf("client: request %s got no answer: %v", id, err)
		return
	}
	firstAt := time.Since(sentAt)
	body, err := io.ReadAll(response.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case response.StatusCode != http.StatusOK:
		t.other++
		rec.logf("client: request %s got status %d", id, response.StatusCode)
	case err != nil:
		t.cut++
		rec.logf("client: request %s: first bytes after %v, cut off after %v with %d of %d bytes: %v",
			id, firstAt, time.Since(sentAt), len(body), pauseAnswer, err)
	case string(body) == longAnswer(id):
		t.served++
		rec.logf("client: request %s served whole after %v", id, time.Since(sentAt))
	}
}
