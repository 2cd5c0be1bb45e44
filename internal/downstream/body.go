package downstream

import (
	"io"
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// A body may take bodyGracePeriod and the time that its bytes take at minBodyRate. Clients send 64 kB a second at least; one that
// stalls must get an error or a close within 3 s of connecting.
const (
	bodyGracePeriod = 700 * time.Millisecond
	minBodyRate     = 48 << 10 // bytes a second
)

// readBody reads the body of a request. It returns a body of up to http1.MaxBufferedBody bytes completely. Of a longer
// one it reads the first part, and returns an upload that reads the rest. Errors are of type *exchange.RequestError.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, conn *Conn) ([]byte, *exchange.Upload, error) {
	if r.ContentLength > http1.MaxBody {
		return nil, nil, exchange.ErrBodyTooLarge
	}
	controller := http.NewResponseController(w)
	limited := http.MaxBytesReader(w, r.Body, http1.MaxBody)
	paced := &pacedReader{
		source:         limited,
		startedAt:      time.Now(),
		serverDeadline: conn.requestDeadline(),
		setDeadline:    controller.SetReadDeadline,
	}
	body, err := io.ReadAll(io.LimitReader(paced, http1.MaxBufferedBody+1))
	if err != nil {
		return nil, nil, exchange.BodyError(err)
	}
	if len(body) <= http1.MaxBufferedBody {
		return body, nil, nil
	}
	return nil, s.newUpload(r, conn, controller, limited, body), nil
}

// newUpload returns the upload of a long body, of which the first bytes were read from source.
func (s *Server) newUpload(
	r *http.Request, conn *Conn, controller *http.ResponseController, source io.Reader, first []byte,
) *exchange.Upload {
	number := conn.requestCount
	controller.EnableFullDuplex() // the response may precede the end of the body
	conn.uploading.Store(true)
	upload := &exchange.Upload{
		Length:               r.ContentLength,
		Source:               source,
		Budget:               &s.replayBudget,
		MarkAwaitingResponse: func() error { return conn.MarkAwaitingResponse(number) },
		SetReadTimeout: func(timeout time.Duration) {
			controller.SetReadDeadline(time.Now().Add(timeout))
		},
	}
	upload.SetFirstBytes(first)
	upload.PauseReading(time.Now())
	return upload
}

// pacedReader extends the read deadline of a body as its bytes arrive.
type pacedReader struct {
	source         io.Reader
	startedAt      time.Time // when the head had been read
	serverDeadline time.Time // the read deadline that http.Server has set; never shortened
	bytesRead      int64
	setDeadline    func(time.Time) error
}

// Read implements io.Reader.
func (r *pacedReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.bytesRead += int64(n)
	deadline := r.startedAt.Add(bodyGracePeriod + time.Duration(r.bytesRead)*time.Second/minBodyRate)
	if n > 0 && err == nil && deadline.After(r.serverDeadline) {
		r.setDeadline(deadline)
	}
	return n, err
}
