package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["answer-never-ends"] = playAnswerNeverEnds }

const (
	endlessServers  = 6 // the first of them hangs in the middle of its work
	endlessRequests = 60
	endlessWait     = 2 * time.Second // how long clients wait for an answer
	// endlessSlack is how much later a final answer may come; endlessMargin is added for the delays of a busy machine.
	endlessSlack  = 500 * time.Millisecond
	endlessMargin = 300 * time.Millisecond
)

// playAnswerNeverEnds plays a server that hangs in the middle of its work: it writes the first part of a short answer.
func playAnswerNeverEnds(s *setup) (verdict, error) {
	number := 0
	members, err := startServers(s, endlessServers, func(server *server) {
		server.handle = answerInParts(s.trouble && number == 0)
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
	tally := &endlessTally{}
	var clients sync.WaitGroup
	for i := range endlessRequests {
		time.Sleep(50 * time.Millisecond)
		clients.Go(func() { tally.send(s.rec, side.listen, traceID(i)) })
	}
	clients.Wait()
	return verdict{
		broken: tally.open > 0,
		summary: fmt.Sprintf("%d requests: %d served, %d refused or failed, %d cut off in time, %d neither answered nor ended %v after their time",
			endlessRequests, tally.served, tally.other, tally.cut, tally.open, endlessSlack),
	}, nil
}

// answerInParts answers in two chunks. If hangs is set, the second one does not come for 15 s.
func answerInParts(hangs bool) func(*server, net.Conn, *received) bool {
	return func(s *server, conn net.Conn, request *received) bool {
		time.Sleep(20 * time.Millisecond)
		body := answerBody(request.traceID)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n%s\r\n", body[:6])
		if hangs {
			s.rec.logf("server %s: hangs within the answer to %s", s.id, request.traceID)
			time.Sleep(15 * time.Second)
		}
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(body)-6, body[6:])
		s.rec.logf("server %s: answered request %s", s.id, request.traceID)
		return err == nil
	}
}

type endlessTally struct {
	mu                       sync.Mutex
	served, other, cut, open int
}

func (t *endlessTally) send(rec *recorder, address, id string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		rec.logf("client: request %s: %v", id, err)
		return
	}
	defer conn.Close()
	io.WriteString(conn, lookup(id, endlessWait))
	sentAt := time.Now()
	conn.SetReadDeadline(sentAt.Add(endlessWait + endlessSlack + endlessMargin))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	after := time.Since(sentAt)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.open++
		rec.logf("client: request %s has no final answer after %v", id, after)
	case err != nil:
		t.cut++
		rec.logf("client: request %s was cut off after %v: %v", id, after, err)
	case response.StatusCode == http.StatusOK:
		t.served++
		rec.logf("client: request %s served after %v", id, after)
	default:
		t.other++
		rec.logf("client: request %s got status %d after %v", id, response.StatusCode, after)
	}
}
