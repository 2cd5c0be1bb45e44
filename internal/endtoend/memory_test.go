package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/standin"
)

const (
	// crowd is the number of clients: a third of 1,024 descriptors.
	crowd = 340
	// playTime is how long the crowd plays.
	playTime = 4 * time.Second
	// maxMemoryFraction is the largest fraction of the memory limit that the process may have resident.
	maxMemoryFraction = 0.9
	// minServedFraction is the smallest fraction of the well-behaved client's lookups that must be served.
	minServedFraction = 0.9
	bytesPerMB        = 1 << 20
)

// play is what one client of the crowd does on a new connection. It returns when it is done with the connection.
type play func(conn net.Conn)

// repeatedFields returns header lines of a few bytes each, with the given length in total.
func repeatedFields(length int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < length; i++ {
		fmt.Fprintf(&lines, "%x:%x\r\n", i, i%16)
	}
	return lines.String()
}

// The texts of the plays, which are made once: the test shares its processors with the sidecar.
var (
	shortFields        = repeatedFields(31 << 10)
	trailerFields      = repeatedFields(8 << 10)
	slowHeadFields     = repeatedFields(1 << 10)
	halfBody           = strings.Repeat("b", 2<<20)
	nearlyBufferedBody = strings.Repeat("b", 60<<10)
	tinyChunks         = strings.Repeat("1;"+strings.Repeat("e", 200)+"\r\nb\r\n", 100)
)

// writeAndWait returns a play that writes a head and a body and then reads until the sidecar closes the connection, or for waitTime.
func writeAndWait(head func() string, body string) play {
	const waitTime = 4 * time.Second
	return func(conn net.Conn) {
		conn.SetDeadline(time.Now().Add(waitTime))
		io.WriteString(conn, head())
		if _, err := io.WriteString(conn, body); err == nil {
			io.Copy(io.Discard, conn)
		}
	}
}

// readSlowly returns a play that sends an order without a body and reads the response slowly.
func readSlowly(piece int, pause time.Duration) play {
	return func(conn net.Conn) {
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(conn, orderHead(newTraceID(), contentLength(0)))
		buffer := make([]byte, piece)
		for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(pause) {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}
}

// pipeline sends many lookups at once and reads the responses.
func pipeline(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(time.Second))
	var text strings.Builder
	for range 200 {
		fmt.Fprintf(&text, "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n\r\n",
			newTraceID(), lookupClass)
	}
	io.WriteString(conn, text.String())
	io.Copy(io.Discard, conn)
}

// writeTinyChunks sends a body in chunks of a byte with a long extension each, and then trailers.
func writeTinyChunks(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(playTime))
	io.WriteString(conn, orderHead(newTraceID(), "Transfer-Encoding: chunked\r\n"))
	for range 20 {
		if _, err := io.WriteString(conn, tinyChunks); err != nil {
			return
		}
	}
	io.WriteString(conn, "0\r\n"+trailerFields+"\r\n")
	io.Copy(io.Discard, conn)
}

// writeByteByByte sends a head one byte at a time.
func writeByteByByte(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(playTime))
	for _, b := range []byte(orderHead(newTraceID(), slowHeadFields)) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	io.Copy(io.Discard, conn)
}

// memoryCases are the plays of a crowd whose sum of what each client may hold exceeds the memory limit.
var memoryCases = []struct {
	name   string
	orders orderHandler
	play   play
}{
	{"heads of short fields", readAndRespond(0, 10), writeAndWait(func() string {
		return orderHead(newTraceID(), contentLength(0)+shortFields)
	}, "")},
	{"unended heads of short fields", readAndRespond(0, 10), writeAndWait(func() string {
		return strings.TrimSuffix(orderHead(newTraceID(), contentLength(0)+shortFields), "\r\n")
	}, "")},
	{"half of 4 MiB", readAndRespond(0, 10), writeAndWait(func() string {
		return orderHead(newTraceID(), contentLength(4<<20))
	}, halfBody)},
	{"half of 4 MiB to hanging endpoints", hang, writeAndWait(func() string {
		return orderHead(newTraceID(), contentLength(4<<20))
	}, halfBody)},
	{"60 of 64 KiB", readAndRespond(0, 10), writeAndWait(func() string {
		return orderHead(newTraceID(), contentLength(64<<10))
	}, nearlyBufferedBody)},
	{"60 KiB to slow endpoints", readAndRespond(1200*time.Millisecond, 10), writeAndWait(func() string {
		return orderHead(newTraceID(), contentLength(60<<10))
	}, nearlyBufferedBody)},
	{"60 KiB responses read slowly", readAndRespond(0, 60<<10), readSlowly(1<<10, 200*time.Millisecond)},
	{"2 MiB responses read slowly", readAndRespond(0, 2<<20), readSlowly(1<<10, 200*time.Millisecond)},
	{"pipelined", readAndRespond(0, 10), pipeline},
	{"tiny chunks", readAndRespond(0, 10), writeTinyChunks},
	{"byte by byte", readAndRespond(0, 10), writeByteByByte},
	{"silent", readAndRespond(0, 10), func(conn net.Conn) { io.Copy(io.Discard, conn) }},
}

// runCrowd lets clients play on new connections, again and again, until stop is closed.
func runCrowd(address string, clients int, play play, stop <-chan struct{}, running *sync.WaitGroup) {
	const reconnectPause = 20 * time.Millisecond
	for range clients {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(reconnectPause):
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				closeOnStop := make(chan struct{})
				go func() { // ends a play that is waiting
					select {
					case <-stop:
					case <-closeOnStop:
					}
					conn.Close()
				}()
				play(conn)
				close(closeOnStop)
			}
		})
	}
}

// TestMemoryLimitHoldsWithCrowd guards against the end of the process by its memory limit: each of hundreds of clients holds
// no more than one request may, but together they hold more than the process has.
func TestMemoryLimitHoldsWithCrowd(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	for _, test := range memoryCases {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: test.orders})
			checkMemoryWithCrowd(t, s, memoryMB, crowd, test.play)
		})
	}
}

// TestUpgradableSidecarServesCrowd guards against turning clients away because memory is kept free for the other process of an
// upgrade.
func TestUpgradableSidecarServesCrowd(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: respondAny, upgradable: true})
	checkMemoryWithCrowd(t, s, memoryMB, crowd, playAny)
}

// playAny plays one of the other cases, in turn.
func playAny(conn net.Conn) {
	memoryCases[int(playsBegun.Add(1))%len(memoryCases)].play(conn)
}

// playsBegun counts the calls of playAny.
var playsBegun atomic.Int64

// respondAny handles an order as one of the other cases does, in turn.
func respondAny(conn net.Conn, reader *bufio.Reader, order *http.Request) bool {
	return memoryCases[int(ordersReceived.Add(1))%len(memoryCases)].orders(conn, reader, order)
}

// ordersReceived counts the calls of respondAny.
var ordersReceived atomic.Int64

// TestMemoryLimitHoldsWithMixedCrowd guards against plays that need more memory together than each one alone.
func TestMemoryLimitHoldsWithMixedCrowd(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: respondAny})
	checkMemoryWithCrowd(t, s, memoryMB, crowd, playAny)
}

// TestMemoryLimitHoldsForProcessStartedInCrowd guards against a process that passes the limit because all clients come at once
// while it is starting, after the one before was killed.
func TestMemoryLimitHoldsForProcessStartedInCrowd(t *testing.T) {
	const memoryMB, sockets, kills = 32, 1024, 4
	s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: respondAny})
	stop := make(chan struct{})
	var running sync.WaitGroup
	runCrowd(s.address, crowd, playAny, stop, &running)
	for range kills {
		time.Sleep(playTime / kills)
		if peak, err := s.PeakResidentBytes(); err != nil || float64(peak) > memoryMB*bytesPerMB*maxMemoryFraction {
			t.Errorf("got a peak of %.1f MiB, error %v", float64(peak)/bytesPerMB, err)
		}
		s.Kill()
		process, err := standin.StartProcess(program, s.dir, s.Config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(process.Kill)
		s.Process = process
	}
	close(stop)
	running.Wait()
}

// checkMemoryWithCrowd lets a crowd play beside a well-behaved client and checks the memory and the lookups.
func checkMemoryWithCrowd(t *testing.T, s *setup, memoryMB float64, clients int, play play) {
	t.Helper()
	stop := make(chan struct{})
	var client wellBehaved
	var running sync.WaitGroup
	running.Go(func() { client.run(s.address, stop) })
	runCrowd(s.address, clients, play, stop, &running)
	time.Sleep(playTime)
	close(stop)
	running.Wait()
	peak, err := s.PeakResidentBytes()
	if ended, exit := s.Wait(0); ended || err != nil {
		t.Fatalf("the process has ended: %v, %v", exit, err)
	}
	limit := memoryMB * bytesPerMB * maxMemoryFraction
	t.Logf("peak %.1f MiB; lookups: %d sent, %v, slowest %v",
		float64(peak)/bytesPerMB, client.sent, client.outcomes, client.slowest.Round(time.Millisecond))
	if float64(peak) > limit {
		t.Errorf("got a peak of %.1f MiB resident memory, want at most %.1f of %v", float64(peak)/bytesPerMB, limit/bytesPerMB, memoryMB)
	}
	if float64(client.served) < minServedFraction*float64(client.sent) || client.unanswered > 0 {
		t.Errorf("got %d of %d lookups served, %d unanswered; want %.0f%% served, all answered",
			client.served, client.sent, client.unanswered, 100*minServedFraction)
	}
}

// TestMemoryLimitHoldsForOtherLimits guards against a budget that fits only one memory limit and one number of descriptors.
func TestMemoryLimitHoldsForOtherLimits(t *testing.T) {
	for _, limits := range []struct {
		memoryMB float64
		sockets  int
	}{{32, 256}, {48, 1024}, {192, 1024}} {
		for _, index := range []int{0, 2, 5} {
			test := memoryCases[index]
			t.Run(fmt.Sprintf("%v MB, %d sockets, %s", limits.memoryMB, limits.sockets, test.name), func(t *testing.T) {
				s := start(t, options{memoryMB: limits.memoryMB, sockets: limits.sockets, orders: test.orders})
				checkMemoryWithCrowd(t, s, limits.memoryMB, limits.sockets/3, test.play)
			})
		}
	}
}

// TestMemoryLimitHoldsDuringUpgrade guards against two processes of an upgrade that together exceed the limit of one sidecar.
func TestMemoryLimitHoldsDuringUpgrade(t *testing.T) {
	const memoryMB, sockets = 32, 1024
	for _, index := range []int{0, 2, 5, 6} {
		test := memoryCases[index]
		t.Run(test.name, func(t *testing.T) {
			s := start(t, options{memoryMB: memoryMB, sockets: sockets, orders: test.orders, upgradable: true})
			stop := make(chan struct{})
			var running sync.WaitGroup
			runCrowd(s.address, crowd, test.play, stop, &running)
			time.Sleep(playTime / 4)
			successor := s.startSuccessor(t)
			peak := peakOfBoth(t, s.Process, successor)
			close(stop)
			running.Wait()
			limit := memoryMB * bytesPerMB * maxMemoryFraction
			t.Logf("peak %.1f MiB", float64(peak)/bytesPerMB)
			if float64(peak) > limit {
				t.Errorf("got a peak of %.1f MiB in both processes, want at most %.1f", float64(peak)/bytesPerMB, limit/bytesPerMB)
			}
		})
	}
}

// peakOfBoth returns the largest sum of the resident memory of two processes within playTime.
func peakOfBoth(t *testing.T, first, second *standin.Process) (peak int64) {
	t.Helper()
	const sampleInterval = 10 * time.Millisecond
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(sampleInterval) {
		firstBytes, firstErr := first.ResidentBytes()
		secondBytes, secondErr := second.ResidentBytes()
		if firstErr != nil || secondErr != nil {
			t.Fatalf("a process has ended: %v, %v", firstErr, secondErr)
		}
		peak = max(peak, firstBytes+secondBytes)
	}
	return peak
}
