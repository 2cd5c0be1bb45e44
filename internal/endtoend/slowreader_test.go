package endtoend

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cindersaddle/internal/http1"
)

var (
	slowReaderSeeds = flag.Int("slowreader.seeds", 1, "number of seeds that TestOrdersAtSlowReadersAreAnsweredInTime runs")
	slowReaderFirst = flag.Uint64("slowreader.first", 5, "the first seed")
)

// What TestOrdersAtSlowReadersAreAnsweredInTime draws.
const (
	ordersPerSeed        = 60
	ordersPerConnection  = 2
	slowestReadRate      = 64 << 10 // bytes per second
	largestReadLump      = 512 << 10
	longestReadPause     = 2500 * time.Millisecond
	longestWritePause    = 2 * time.Second
	smallEndpointBuffer  = 16 << 10
	slowReaderMemoryMB   = 64
	resetPercent         = 10
	earlyResponsePercent = 15
	unknownLengthPercent = 50 // of the responses
	latePercent          = 25 // of the orders, whose last byte is written late
	patientPercent       = 30 // of the clients, which read only when they have written everything
)

// slowReading is how an endpoint reads the body of an order.
type slowReading struct {
	rate    int           // bytes per second, in between
	pauses  time.Duration // after each lump
	lump    int           // bytes
	stopAt  int           // bytes after which the endpoint stops to read for a while; 0: never
	stopFor time.Duration
	resetAt int // bytes after which the first attempt's connection is reset; 0: never
	early   int // bytes after which the endpoint responds without reading the rest; 0: never
}

// slowOrder is an order with a long body and the way in which its client writes it and its endpoint reads it.
type slowOrder struct {
	size     int
	chunked  bool
	time     time.Duration // that its client waits
	lastByte time.Duration // pause before the last byte
	pieces   int           // in which the body is written, with pauses in between
	pause    time.Duration
	patient  bool // its client reads only when it has written everything
	reading  slowReading
	response *lumpyResponse // nil: a short one with a declared length
	traceID  string
	attempts atomic.Int32
}

// String describes the order for a report.
func (o *slowOrder) String() string {
	return fmt.Sprintf("%d bytes, chunked %v, time %v, last byte after %v, %d pieces %v apart, patient %v, %+v, response %v",
		o.size, o.chunked, o.time, o.lastByte, o.pieces, o.pause, o.patient, o.reading, o.response)
}

// drawOrder draws an order.
func drawOrder(random *rand.Rand) *slowOrder {
	o := &slowOrder{
		size:    http1.MaxBufferedBody + 1<<random.IntN(24),
		chunked: random.IntN(2) == 0,
		time:    drawBetween(random, minRequestTime, orderDeadline),
		pieces:  1 + random.IntN(5),
		pause:   drawBetween(random, 0, longestWritePause/4),
		patient: random.IntN(100) < patientPercent,
		traceID: newTraceID(),
	}
	if random.IntN(100) < latePercent {
		o.lastByte = drawBetween(random, 0, longestWritePause)
	}
	o.reading = drawReading(random, o.size)
	if random.IntN(100) < unknownLengthPercent {
		o.response = drawResponse(random)
		o.time = o.response.time
	}
	return o
}

// drawReading draws how the body of an order is read.
func drawReading(random *rand.Rand, size int) slowReading {
	r := slowReading{
		rate: slowestReadRate << random.IntN(8),
		lump: 1 + random.IntN(largestReadLump),
	}
	switch random.IntN(3) {
	case 0:
		r.pauses = drawBetween(random, 0, longestReadPause)
	case 1:
		r.stopAt, r.stopFor = 1+random.IntN(size), drawBetween(random, 0, 3*longestReadPause)
	}
	switch percent := random.IntN(100); {
	case percent < resetPercent:
		r.resetAt = 1 + random.IntN(size)
	case percent < resetPercent+earlyResponsePercent:
		r.early = 1 + random.IntN(size)
	}
	return r
}

// serve reads the order and responds as its endpoint does.
func (o *slowOrder) serve(conn net.Conn, order *http.Request) bool {
	const step = 16 << 10
	r, attempt := o.reading, o.attempts.Add(1)
	total, lump := 0, 0
	for {
		n, err := io.CopyN(io.Discard, order.Body, step)
		before := total
		total, lump = total+int(n), lump+int(n)
		if err == io.EOF {
			return o.respond(conn)
		}
		if err != nil {
			return false
		}
		passed := func(at int) bool { return at > before && at <= total }
		switch {
		case attempt == 1 && passed(r.resetAt):
			conn.(*net.TCPConn).SetLinger(0)
			return false
		case passed(r.early):
			o.respond(conn)
			time.Sleep(time.Second)
			return false
		case passed(r.stopAt):
			time.Sleep(r.stopFor)
		}
		if lump >= r.lump {
			time.Sleep(r.pauses)
			lump = 0
		}
		time.Sleep(time.Second * time.Duration(n) / time.Duration(r.rate))
	}
}

// respond writes the response. It reports whether the connection persists.
func (o *slowOrder) respond(conn net.Conn) bool {
	if o.response != nil {
		o.response.write(conn)
		return false
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	return err == nil
}

// write writes the order and returns when its last byte was accepted.
func (o *slowOrder) write(conn net.Conn) (writtenAt time.Time, err error) {
	text := longOrder{size: o.size, chunked: o.chunked}.text(o.traceID)
	text = strings.Replace(text, fmt.Sprintf("%dm", orderDeadline.Milliseconds()), fmt.Sprintf("%dm", o.time.Milliseconds()), 1)
	last := len(text) - 1
	for i := range o.pieces {
		if i > 0 {
			time.Sleep(o.pause)
		}
		if _, err = io.WriteString(conn, text[last*i/o.pieces:last*(i+1)/o.pieces]); err != nil {
			return time.Time{}, err
		}
	}
	time.Sleep(o.lastByte)
	_, err = io.WriteString(conn, text[last:])
	return time.Now(), err
}

// orderEnd is how an order ended for its client.
type orderEnd struct {
	status   int
	began    time.Duration // when the head of the response had arrived, after the last byte was written; negative: before
	ended    time.Duration // the same for the end of the response
	readErr  error
	writeErr error
	closes   bool // the sidecar closes the connection after the response
}

// send sends the order and reads the response.
func (o *slowOrder) send(conn net.Conn, reader *bufio.Reader) orderEnd {
	var end orderEnd
	var writtenAt time.Time
	var writing sync.WaitGroup
	writing.Go(func() { writtenAt, end.writeErr = o.write(conn) })
	if o.patient {
		writing.Wait()
	}
	response, err := http.ReadResponse(reader, nil)
	beganAt := time.Now()
	if err == nil {
		end.status, end.closes = response.StatusCode, response.Close
		_, err = io.ReadAll(response.Body)
	}
	end.readErr = err
	endedAt := time.Now()
	if end.closes {
		conn.SetWriteDeadline(endedAt.Add(-time.Second)) // a client that has its response writes nothing more
	}
	writing.Wait()
	if end.writeErr == nil {
		end.began, end.ended = beganAt.Sub(writtenAt), endedAt.Sub(writtenAt)
	}
	return end
}

// problem returns what is wrong with the end of an order, or an empty string. The time of an order counts from its last byte.
func (o *slowOrder) problem(end orderEnd) string {
	long := end.status == http.StatusOK && o.response != nil && o.response.isLong()
	final := end.ended
	if long {
		final = end.began
	}
	switch {
	case end.status == 0:
		return "no response"
	case final > o.time+lateAfter:
		return "late response"
	case long && end.readErr != nil:
		return "a long response was cut off"
	}
	return ""
}

// TestOrdersAtSlowReadersAreAnsweredInTime guards against a final response that comes long after the time of an order whose
// endpoint reads the body slowly, in whatever way it is written and read.
func TestOrdersAtSlowReadersAreAnsweredInTime(t *testing.T) {
	for i := range *slowReaderSeeds {
		seed := *slowReaderFirst + uint64(i)
		for _, receiveBuffer := range []int{0, smallEndpointBuffer} {
			t.Run(fmt.Sprintf("seed %d, receive buffer %d", seed, receiveBuffer), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, 1))
				byTraceID := map[string]*slowOrder{}
				var orders []*slowOrder
				for range ordersPerSeed {
					order := drawOrder(random)
					orders = append(orders, order)
					byTraceID[order.traceID] = order
				}
				s := start(t, options{
					memoryMB: slowReaderMemoryMB, sockets: usualSockets, receiveBuffer: receiveBuffer,
					orders: func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
						return byTraceID[request.Header.Get("X-Trace-Id")].serve(conn, request)
					},
				})
				s.sendSlowOrders(t, orders)
			})
		}
	}
}

// sendSlowOrders sends orders, several on each connection, and checks how they end.
func (s *setup) sendSlowOrders(t *testing.T, orders []*slowOrder) {
	t.Helper()
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses, latest := map[int]int{}, time.Duration(0)
	for begin := 0; begin < len(orders); begin += ordersPerConnection {
		conn := s.dial(t)
		clients.Go(func() {
			reader := bufio.NewReader(conn)
			for _, order := range orders[begin : begin+ordersPerConnection] {
				end := order.send(conn, reader)
				mu.Lock()
				statuses[end.status]++
				latest = max(latest, end.began-order.time)
				mu.Unlock()
				if problem := order.problem(end); problem != "" {
					t.Errorf("%v: %s: %+v; log of the sidecar: %q", order, problem, end, s.LogLines(order.traceID))
				}
				if end.closes || end.readErr != nil || end.writeErr != nil {
					return
				}
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	t.Logf("responses by status %v; the latest came %v after its time", statuses, latest)
}
