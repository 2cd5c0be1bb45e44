package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const pieceSize = 32 << 10 // of a long body, at a time

var pieces = sync.Pool{New: func() any { p := make([]byte, pieceSize); return &p }}

// errClient says that the client took no more of an answer.
var errClient = errors.New("the client takes no more of the answer")

// download is the rest of an answer of more than maxBody: it goes on to the client as it comes.
type download struct {
	first  []byte    // what was read of it
	body   io.Reader // what is yet to come
	allow  func()    // gives the server time for the next piece
	length int64     // as announced; -1: none was
	cancel context.CancelFunc
	ended  chan error // takes how it ended
}

// end says how the download ended; only the first time counts.
func (d *download) end(err error) {
	select {
	case d.ended <- err:
	default:
	}
}

// relay passes the answer on as fast as the client takes it, and each piece at once. Where the server breaks off, the
// connection to the client is cut, so that the client can tell that the answer is not whole.
func (d *download) relay(w http.ResponseWriter, r *http.Request, a *answer) {
	stop := context.AfterFunc(r.Context(), d.cancel) // a client that is gone frees the server at once
	defer stop()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Del("Content-Length")
	if d.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(d.length, 10))
	}
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(stall))
	w.WriteHeader(a.status)
	err := d.copy(w, rc)
	d.end(err)
	if err == nil {
		return
	}
	if c, ok := r.Context().Value(clientKey{}).(*client); ok && d.length < 0 && !r.ProtoAtLeast(1, 1) {
		c.SetLinger(0) // the end of the connection would say that the answer is whole
	}
	panic(http.ErrAbortHandler)
}

func (d *download) copy(w io.Writer, rc *http.ResponseController) error {
	first := d.first
	d.first = nil
	if err := pass(w, rc, first); err != nil {
		return err
	}
	p := pieces.Get().(*[]byte)
	defer pieces.Put(p)
	for {
		d.allow()
		n, err := d.body.Read(*p)
		if n > 0 {
			if err := pass(w, rc, (*p)[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pass writes a piece; the client has its time for each.
func pass(w io.Writer, rc *http.ResponseController, p []byte) error {
	rc.SetWriteDeadline(time.Now().Add(stall))
	if _, err := w.Write(p); err != nil {
		return errors.Join(errClient, err)
	}
	if err := rc.Flush(); err != nil {
		return errors.Join(errClient, err)
	}
	return nil
}
