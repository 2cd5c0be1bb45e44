package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// mostBody bounds what a client may send at all; operators' bodies have up to 32 MB.
	mostBody = 33 << 20
	// What a body of up to maxBody may take: some time at once, and more for each byte that has come. Clients send at
	// 64 kB a second at least; one that stalls is owed an end within 3 s of connecting.
	bodyGrace = 700 * time.Millisecond
	bodyRate  = 48 << 10 // bytes a second
	// stall is how long a peer may neither send nor take a byte of a long body. Peers take seconds; one that hangs
	// must not hold its connection for ever.
	stall = 5 * time.Second
	// A keptMemory-th of the memory limit is for bytes of long bodies that are kept in case another attempt is made, and
	// keptMost for those of one.
	keptMemory = 8
	keptMost   = 1 << 20
)

// budget is what all long bodies together may keep.
type budget struct{ left atomic.Int64 }

func (b *budget) take(n int) bool {
	if b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.left.Add(int64(n))
	return false
}

var (
	errSpent = errors.New("the bytes of the body are not kept any more")
	errLetGo = errors.New("nobody waits for the request any more")
)

// clientError is a body that its client does not bring to an end.
type clientError struct{ error }

func (e clientError) Unwrap() error { return e.error }

// upload is a body of more than maxBody on its way from the client to a server, as fast as both go. What was read is
// kept while there is room, so that another attempt can be made.
type upload struct {
	length int64 // as announced; -1: in chunks
	from   io.Reader
	within func(time.Duration) // sets how long the client may take for the next bytes
	budget *budget
	spent  atomic.Bool // kept is not all that was read
	whole  atomic.Bool // all has been read

	mu    sync.Mutex
	kept  []byte
	taken int // from the budget
	read  int64
	err   error // how reading ended; io.EOF: with the whole body
}

// end lets go of what is kept; nothing more is read.
func (u *upload) end() {
	if !u.whole.Load() {
		u.within(-1) // wakes a reader
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = errLetGo
	u.drop()
}

func (u *upload) drop() {
	u.spent.Store(true)
	u.kept = nil
	u.budget.left.Add(int64(u.taken))
	u.taken = 0
}

// fetch reads on from the client. The caller holds mu.
func (u *upload) fetch(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	u.within(stall)
	n, err := u.from.Read(p)
	u.read += int64(n)
	if !u.spent.Load() && n > 0 {
		if len(u.kept)+n <= keptMost && u.budget.take(n) {
			u.kept = append(u.kept, p[:n]...)
			u.taken += n
		} else {
			u.drop()
		}
	}
	u.whole.Store(err == io.EOF)
	if err != nil && err != io.EOF {
		err = clientError{err}
	}
	u.err = err
	return n, err
}

// uploadReader reads a body from its start for one attempt.
type uploadReader struct {
	*upload
	at      int64
	stopped atomic.Bool
}

func (r *uploadReader) Read(p []byte) (n int, err error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case r.stopped.Load():
		return 0, errLetGo
	case r.at == u.read:
		n, err = u.fetch(p)
	case u.spent.Load():
		return 0, errSpent
	default:
		n = copy(p, u.kept[r.at:])
	}
	r.at += int64(n)
	if r.stopped.Load() { // while it waited: what came is for another attempt
		return 0, errLetGo
	}
	return n, err
}

func (r *uploadReader) Close() error { return nil }

// readBody reads what the client sends after a head: all of it, or the first part of a long body, whose rest follows
// as an upload.
func (f *front) readBody(w http.ResponseWriter, r *http.Request, cl *client) ([]byte, *upload, error) {
	if r.ContentLength > mostBody {
		return nil, nil, errLongBody
	}
	rc := http.NewResponseController(w)
	in := &pacedReader{
		from: http.MaxBytesReader(w, r.Body, mostBody), began: time.Now(), by: rc.SetReadDeadline, due: cl.due(),
	}
	body, err := io.ReadAll(io.LimitReader(in, maxBody+1))
	if err != nil {
		return nil, nil, bodyError(err)
	}
	if len(body) <= maxBody {
		return body, nil, nil
	}
	rc.EnableFullDuplex() // an answer may come before the end of the body
	cl.busy.Store(true)
	return nil, &upload{
		length: r.ContentLength, from: in.from, budget: &f.kept, kept: body, read: int64(len(body)),
		within: func(d time.Duration) { rc.SetReadDeadline(time.Now().Add(d)) },
	}, nil
}

// bodyError is what the client is told whose body does not come.
func bodyError(err error) error {
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return errLongBody
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &badRequest{http.StatusRequestTimeout, "the body does not come"}
	}
	return malformed("body: %v", err)
}

// pacedReader extends the time that a body may take as it comes.
type pacedReader struct {
	from  io.Reader
	began time.Time // after the head
	due   time.Time // by the server's own limit
	read  int64
	by    func(time.Time) error
}

func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += int64(n)
	due := r.began.Add(bodyGrace + time.Duration(r.read)*time.Second/bodyRate)
	if n > 0 && err == nil && due.After(r.due) {
		r.by(due)
	}
	return n, err
}

// sending writes a request with a long body while its answer may come already.
type sending struct {
	body  *uploadReader
	whole atomic.Bool
	done  chan struct{}
	err   error // once done
}

// slowWriter gives the server time for each piece.
type slowWriter struct{ *conn }

func (w slowWriter) Write(p []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(stall))
	return w.Conn.Write(p)
}

func (s *sending) run(c *conn, req *http.Request, whole func()) {
	defer close(s.done)
	if s.err = req.Write(slowWriter{c}); s.err == nil {
		s.whole.Store(true)
		whole()
		return
	}
	s.err = fmt.Errorf("send: %w", s.err)
	// The answer may be there already, and tell why the server reads no more.
	c.SetReadDeadline(time.Now().Add(answerGrace))
}

// answerGrace is how long the answer of a server that reads no more may take.
const answerGrace = 100 * time.Millisecond
