package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hang-in-shutdown"] = playHangInShutdown }

const (
	hangServers = 4 // the first two of them hang
	hangUploads = 16
	// A client writes its body in pieces of hangPiece bytes, at a constant rate, for hangWriting. SIGTERM comes hangBeforeTerm after
	// its first byte, so that the last byte is written 2.2 s after SIGTERM. The bodies have different lengths, because it depends
	// on the buffers of the machine how much of a body is accepted while the server does not read.
	hangShortest   = 4 << 20
	hangStep       = 1 << 20
	hangLengths    = 8
	hangPiece      = 16 << 10
	hangWriting    = 3200 * time.Millisecond
	hangBeforeTerm = 1000 * time.Millisecond
	// hangKill is when SIGKILL comes after SIGTERM: the longest deadline, which is 2 s here, and 0.7 s more.
	hangKill = 2700 * time.Millisecond
	// hangLate is the time after SIGTERM from which on a request that SIGKILL finds unanswered is lost.
	hangLate = 700 * time.Millisecond
)

// playHangInShutdown plays a planned restart during which half of the servers hang, while requests with long bodies are written.
func playHangInShutdown(s *setup) (verdict, error) {
	hanging := &atomic.Bool{}
	number := 0
	members, err := startServers(s, hangServers, func(server *server) {
		if number < hangServers/2 {
			server.readBody = readUnless(hanging)
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
	side, err := startSidecar(s.dir, agent.listener.Addr().String(), settingsText, members)
	if side != nil {
		defer side.kill()
	}
	if err != nil {
		return verdict{}, err
	}
	uploads := make([]*upload, hangUploads)
	var clients sync.WaitGroup
	for i := range uploads {
		uploads[i] = &upload{id: traceID(i), pieces: (hangShortest + i%hangLengths*hangStep) / hangPiece, rec: s.rec}
		clients.Go(func() { uploads[i].send(side.listen) })
	}
	time.Sleep(hangBeforeTerm)
	if s.trouble {
		hanging.Store(true)
		s.rec.logf("platform: servers s-0 and s-1 hang")
	}
	termAt := time.Now()
	side.signal(syscall.SIGTERM)
	s.rec.logf("platform: SIGTERM")
	select {
	case <-side.exited:
		s.rec.logf("platform: the sidecar has ended")
	case <-time.After(hangKill):
	}
	killAt := time.Now()
	side.kill()
	s.rec.logf("platform: SIGKILL, unless it had ended")
	clients.Wait()
	lost, answered, notWhole := 0, 0, 0
	for _, u := range uploads {
		switch {
		case u.writtenAt.IsZero():
			notWhole++
		case u.status != 0:
			answered++
		case u.writtenAt.Sub(termAt) > hangLate && u.writtenAt.Before(killAt):
			lost++
			s.rec.logf("LOST: request %s was written whole %v after SIGTERM and has no answer", u.id, u.writtenAt.Sub(termAt))
		}
	}
	return verdict{
		broken: lost > 0,
		summary: fmt.Sprintf("%d requests with long bodies: %d answered, %d not written whole, %d written whole and never answered",
			len(uploads), answered, notWhole, lost),
	}, nil
}

// readUnless returns a function that reads a body, and stops to read once hanging is set.
func readUnless(hanging *atomic.Bool) func(*http.Request) ([]byte, error) {
	return func(request *http.Request) ([]byte, error) {
		var body bytes.Buffer
		for {
			if hanging.Load() {
				time.Sleep(time.Minute)
			}
			if _, err := io.CopyN(&body, request.Body, hangPiece); err == io.EOF {
				return body.Bytes(), nil
			} else if err != nil {
				return nil, err
			}
		}
	}
}

// upload is a request with a long body.
type upload struct {
	id        string
	pieces    int // number of pieces of its body
	rec       *recorder
	writtenAt time.Time // when its last byte was written; zero: never
	status    int       // of its answer; 0: none
}

func (u *upload) send(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		u.rec.logf("client: request %s: %v", u.id, err)
		return
	}
	defer conn.Close()
	go u.write(conn)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		u.rec.logf("client: request %s got no answer: %v", u.id, err)
		return
	}
	u.status = response.StatusCode
	u.rec.logf("client: request %s got status %d", u.id, u.status)
}

func (u *upload) write(conn net.Conn) {
	begin := time.Now()
	io.WriteString(conn, portOrder(u.id, 1500*time.Millisecond, u.pieces*hangPiece))
	piece := bytes.Repeat([]byte("."), hangPiece)
	for i := range u.pieces {
		time.Sleep(time.Until(begin.Add(hangWriting * time.Duration(i+1) / time.Duration(u.pieces))))
		if _, err := conn.Write(piece); err != nil {
			u.rec.logf("client: request %s not written whole: %v", u.id, err)
			return
		}
	}
	u.writtenAt = time.Now()
	u.rec.logf("client: last byte of request %s written (%d bytes of body)", u.id, u.pieces*hangPiece)
}
