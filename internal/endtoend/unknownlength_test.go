package endtoend

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cindersaddle/internal/http1"
)

var (
	unknownLengthSeeds = flag.Int("unknownlength.seeds", 2, "number of seeds that TestResponsesWithoutLength runs")
	unknownLengthFirst = flag.Uint64("unknownlength.first", 1, "the first seed")
)

// framing is how the end of a response without a length is marked.
type framing string

const (
	inChunks   framing = "chunked"
	untilClose framing = "close"
	oldVersion framing = "HTTP/1.0"
)

// What TestResponsesWithoutLength draws.
const (
	responsesPerSeed    = 120
	longResponsePercent = 40
	hangingPercent      = 20 // of the responses
	drippingPercent     = 15 // of the responses: their lumps are cut into many
	dripsPerLump        = 20
	maxShortParts       = 6
	shortSizeExponents  = 14 // so that maxShortParts lumps have at most http1.MaxBufferedBody bytes
	maxLongLump         = 75 << 10
	minRequestTime      = 300 * time.Millisecond
	maxRequestTime      = orderDeadline
	maxLongPause        = 3 * time.Second
	hangTime            = 10 * time.Second // longer than any client waits for a short response
)

// clearMargin is how much earlier than a limit something must have happened, so that a busy machine makes no difference.
const clearMargin = 150 * time.Millisecond

// lump is a part of a response body, which the endpoint writes at once after a pause.
type lump struct {
	pause time.Duration
	bytes int
}

// lumpyResponse is a response without a length that an endpoint writes in lumps, and its request.
type lumpyResponse struct {
	framing framing
	time    time.Duration // of the request
	lumps   []lump        // after the head; the end of the response follows the last one at once
	traceID string        // of the request
}

// String describes the response for a report.
func (r *lumpyResponse) String() string {
	return fmt.Sprintf("%s, time %v, lumps %v", r.framing, r.time, r.lumps)
}

// length returns the length of the body.
func (r *lumpyResponse) length() int {
	total := 0
	for _, lump := range r.lumps {
		total += lump.bytes
	}
	return total
}

// isLong reports whether the first bytes of the response are timed instead of the last ones.
func (r *lumpyResponse) isLong() bool { return r.length() > http1.MaxBufferedBody }

// knownAt returns when the endpoint has given more bytes than a short response has, or the end of the response.
func (r *lumpyResponse) knownAt() time.Duration {
	at, total := time.Duration(0), 0
	for _, lump := range r.lumps {
		at += lump.pause
		total += lump.bytes
		if total > http1.MaxBufferedBody {
			break
		}
	}
	return at
}

// head returns the head of the response.
func (r *lumpyResponse) head() string {
	switch r.framing {
	case inChunks:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	case oldVersion:
		return "HTTP/1.0 200 OK\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
}

// part returns bytes of the body with their framing. An empty part is the end of the response.
func (r *lumpyResponse) part(bytes int) string {
	data := strings.Repeat("r", bytes)
	if r.framing != inChunks {
		return data
	}
	return fmt.Sprintf("%x\r\n%s\r\n", bytes, data)
}

// write writes the response as an endpoint does, until the sidecar closes the connection.
func (r *lumpyResponse) write(conn net.Conn) {
	closed := make(chan bool)
	go func() {
		io.Copy(io.Discard, conn)
		close(closed)
	}()
	io.WriteString(conn, r.head())
	for _, lump := range r.lumps {
		select {
		case <-closed:
			return
		case <-time.After(lump.pause):
			io.WriteString(conn, r.part(lump.bytes))
		}
	}
	io.WriteString(conn, r.part(0))
}

// clientView is what a client gets of a response.
type clientView struct {
	status    int
	body      int // bytes
	err       error
	firstByte time.Duration // when the head had arrived, after the request
	end       time.Duration // when the response or its connection had ended
}

// fetch sends the request of the response and reads what comes back.
func (r *lumpyResponse) fetch(conn net.Conn) clientView {
	head := strings.Replace(orderHead(r.traceID, contentLength(0)),
		fmt.Sprintf("%dm", orderDeadline.Milliseconds()), fmt.Sprintf("%dm", r.time.Milliseconds()), 1)
	begin := time.Now()
	io.WriteString(conn, head)
	var view clientView
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	view.firstByte = time.Since(begin)
	if err != nil {
		view.err, view.end = err, view.firstByte
		return view
	}
	body, err := io.ReadAll(response.Body)
	view.status, view.body, view.err, view.end = response.StatusCode, len(body), err, time.Since(begin)
	return view
}

// complete reports whether the client has all of the response.
func (v clientView) complete(r *lumpyResponse) bool {
	return v.status == http.StatusOK && v.err == nil && v.body == r.length()
}

// failed reports whether the client has a complete final response that says that the request has failed.
func (v clientView) failed() bool { return v.status >= http.StatusInternalServerError && v.err == nil }

// problem returns what is wrong with what a client got, or an empty string.
//
// A request needs its final response at most 0.5 s after its time. A long response has it with its first bytes, and what the
// endpoint still gives must not be cut off then. A short one that is broken off in time has failed, because its client can tell.
func (r *lumpyResponse) problem(view clientView) string {
	inTime := r.time + lateAfter
	known := r.knownAt()
	switch {
	case view.complete(r):
		if r.isLong() && view.firstByte > inTime || !r.isLong() && view.end > inTime {
			return "complete, but late"
		}
		return ""
	case r.isLong() && known+clearMargin < r.time:
		return "long, and known to be long in time, but not complete"
	case known+clearMargin < r.time:
		return "short and given in time, but not complete"
	case view.failed() && view.end <= inTime:
		if known < r.time+clearMargin {
			return "known soon after its time, but not complete"
		}
		return ""
	case view.end > inTime:
		return "not complete, and no final response in time"
	case r.isLong():
		return "a long response was cut off"
	}
	return ""
}

// drawResponse draws a response and its request.
func drawResponse(random *rand.Rand) *lumpyResponse {
	framings := []framing{inChunks, inChunks, untilClose, oldVersion}
	r := &lumpyResponse{
		framing: framings[random.IntN(len(framings))], time: drawBetween(random, minRequestTime, maxRequestTime),
	}
	if random.IntN(100) < longResponsePercent {
		r.drawLongBody(random)
	} else {
		r.drawShortBody(random)
	}
	if random.IntN(100) < drippingPercent {
		r.cutIntoDrips()
	}
	if random.IntN(100) < hangingPercent {
		r.lumps[random.IntN(len(r.lumps))].pause = hangTime
	}
	return r
}

// cutIntoDrips distributes the bytes of each lump evenly over the pause before it.
func (r *lumpyResponse) cutIntoDrips() {
	var drips []lump
	for _, whole := range r.lumps {
		count := min(dripsPerLump, whole.bytes)
		for i := range count {
			drips = append(drips, lump{
				pause: whole.pause / time.Duration(count),
				bytes: whole.bytes*(i+1)/count - whole.bytes*i/count,
			})
		}
	}
	r.lumps = drips
}

// drawLongBody draws lumps of any size and pause. The first one comes in the time of the request.
func (r *lumpyResponse) drawLongBody(random *rand.Rand) {
	pause := drawBetween(random, 0, r.time/2)
	for !r.isLong() {
		r.lumps = append(r.lumps, lump{pause: pause, bytes: 1 + random.IntN(maxLongLump)})
		pause = drawBetween(random, 0, maxLongPause)
	}
}

// drawShortBody draws lumps whose sizes vary by orders of magnitude. The response may be complete in time or late.
func (r *lumpyResponse) drawShortBody(random *rand.Rand) {
	largest := 1 << random.IntN(shortSizeExponents)
	for range 1 + random.IntN(maxShortParts) {
		r.lumps = append(r.lumps, lump{pause: drawBetween(random, 0, r.time/2), bytes: 1 + random.IntN(largest)})
	}
}

// drawBetween draws a duration.
func drawBetween(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// TestResponsesWithoutLength guards against a long response without a length that is cut off because its endpoint pauses when the
// time of its request ends, and against a short one that keeps its client waiting.
func TestResponsesWithoutLength(t *testing.T) {
	for i := range *unknownLengthSeeds {
		seed := *unknownLengthFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playResponses(t, drawResponses(seed, responsesPerSeed))
		})
	}
}

// drawResponses draws a number of responses.
func drawResponses(seed uint64, count int) []*lumpyResponse {
	random := rand.New(rand.NewPCG(seed, 0))
	var responses []*lumpyResponse
	for range count {
		responses = append(responses, drawResponse(random))
	}
	return responses
}

// TestResponsesWithoutLengthWhenMemoryIsShort guards against the same if all clients that there may be wait at once, and the
// sidecar has the least memory: responses were forwarded undecided because they could not be held.
func TestResponsesWithoutLengthWhenMemoryIsShort(t *testing.T) {
	t.Parallel()
	const memoryMB, count, requestPause = 32, 340, 3 * time.Millisecond
	responses := drawResponses(*unknownLengthFirst, count)
	s := startWithResponses(t, responses, memoryMB)
	reportResponses(t, responses, s.fetchAll(t, responses, requestPause))
	peak, err := s.PeakResidentBytes()
	if used := float64(peak) / bytesPerMB; err != nil || used > maxMemoryFraction*memoryMB {
		t.Errorf("got a peak of %.1f MiB resident memory, error %v; want at most %.1f", used, err, maxMemoryFraction*memoryMB)
	}
}

// TestResponseThatPausesAtItsTimeIsNotCutOff guards against the same with the form in which operators have seen it: three lumps of
// some 50 KiB, 0.8 s apart, and clients that wait for 0.5 to 0.85 s.
func TestResponseThatPausesAtItsTimeIsNotCutOff(t *testing.T) {
	t.Parallel()
	var responses []*lumpyResponse
	for _, framing := range []framing{inChunks, untilClose, oldVersion} {
		for wait := 500 * time.Millisecond; wait <= 850*time.Millisecond; wait += 50 * time.Millisecond {
			first := lump{pause: 20 * time.Millisecond, bytes: 50 << 10}
			next := lump{pause: 800 * time.Millisecond, bytes: 60 << 10}
			responses = append(responses, &lumpyResponse{framing: framing, time: wait, lumps: []lump{first, next, next}})
		}
	}
	playResponses(t, responses)
}

// TestSlowLongResponsesOfClassAreForwarded guards against failing all responses of a class whose endpoints write long responses so
// slowly that none is known to be long in time. No response may be cut off, and after some of them the others must be forwarded in
// time, also if their endpoints pause at the end of it.
func TestSlowLongResponsesOfClassAreForwarded(t *testing.T) {
	t.Parallel()
	const wait, batch, batches = 400 * time.Millisecond, 4, 5
	const failedAtFirst = 3 * batch // until enough lengths are known
	drip := lump{pause: 100 * time.Millisecond, bytes: 3 << 10}
	pause := lump{pause: 1500 * time.Millisecond, bytes: 3 << 10}
	var responses []*lumpyResponse
	for i := range batch * batches {
		response := &lumpyResponse{framing: inChunks, time: wait, lumps: slices.Repeat([]lump{drip}, 30)}
		if i%2 == 1 {
			response.lumps = slices.Insert(response.lumps, 3, pause)
		}
		responses = append(responses, response)
	}
	s := startWithResponses(t, responses, ampleMemoryMB)
	var views []clientView
	for batch := range slices.Chunk(responses, batch) {
		views = append(views, s.fetchAll(t, batch, usualRequestPause)...)
		time.Sleep(4 * time.Second) // until the lengths of these are known
	}
	reportResponses(t, responses, views)
	for i, view := range views {
		if i >= failedAtFirst && (!view.complete(responses[i]) || view.firstByte > wait) {
			t.Errorf("response %d: got status %d, %d bytes, first after %v; want it complete and begun in %v",
				i, view.status, view.body, view.firstByte, wait)
		}
	}
}

// playResponses plays responses at one sidecar and checks what their clients get.
func playResponses(t *testing.T, responses []*lumpyResponse) {
	t.Helper()
	s := startWithResponses(t, responses, ampleMemoryMB)
	reportResponses(t, responses, s.fetchAll(t, responses, usualRequestPause))
}

// startWithResponses starts a sidecar and endpoints that give these responses.
func startWithResponses(t *testing.T, responses []*lumpyResponse, memoryMB float64) *setup {
	t.Helper()
	byTraceID := map[string]*lumpyResponse{}
	for _, response := range responses {
		response.traceID = newTraceID()
		byTraceID[response.traceID] = response
	}
	respond := func(conn net.Conn, _ *bufio.Reader, order *http.Request) bool {
		byTraceID[order.Header.Get("X-Trace-Id")].write(conn)
		return false
	}
	return start(t, options{memoryMB: memoryMB, sockets: usualSockets, orders: respond})
}

// usualRequestPause is the time between the starts of two requests.
const usualRequestPause = 10 * time.Millisecond

// fetchAll sends the requests of responses, with pauses between their starts, and returns what their clients get.
func (s *setup) fetchAll(t *testing.T, responses []*lumpyResponse, pause time.Duration) []clientView {
	t.Helper()
	views := make([]clientView, len(responses))
	var clients sync.WaitGroup
	for i, response := range responses {
		conn := s.dial(t)
		clients.Go(func() { views[i] = response.fetch(conn) })
		time.Sleep(pause)
	}
	clients.Wait()
	return views
}

// reportResponses logs how the responses ended and reports what is wrong.
func reportResponses(t *testing.T, responses []*lumpyResponse, views []clientView) {
	t.Helper()
	counts := map[string]int{}
	for i, response := range responses {
		view := views[i]
		length, end := "short", "broken off"
		if response.isLong() {
			length = "long"
		}
		switch {
		case view.complete(response):
			end = "complete"
		case view.failed():
			end = "failed"
		}
		counts[length+" "+end]++
		if problem := response.problem(view); problem != "" {
			counts["problem: "+problem]++
			t.Errorf("%v: %s: got status %d, %d of %d bytes, first after %v, end after %v, error %v", response, problem,
				view.status, view.body, response.length(), view.firstByte, view.end, view.err)
		}
	}
	t.Logf("%d responses: %v", len(responses), counts)
}
