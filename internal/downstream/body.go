package downstream

import (
	"io"
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
	"cindersaddle/internal/memory"
)

// The read deadline of a body is bodyGracePeriod plus the time that the bytes read so far take at minBodyRate, or the
// deadline set by readTimeout if that is later. A client that stalls must get an error response or a closed connection
// within 3 s of connecting.
const (
	bodyGracePeriod = 700 * time.Millisecond
	minBodyRate     = 48 << 10 // bytes per second; clients send at least 64 kB per second
)

// readBody reads the body of a request. A body of up to http1.MaxBufferedBody bytes is read and returned completely. Of
// a longer body only the first part is read; the returned upload reads the rest. Errors are of type
// *exchange.RequestError.
func (s *Server) readBody(
	w http.ResponseWriter, r *http.Request, conn *Conn, required *requestMemory,
) ([]byte, *exchange.Upload, error) {
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
	body, complete, err := required.readBody(paced, r.ContentLength)
	if err != nil {
		return nil, nil, err
	}
	if complete {
		return body, nil, nil
	}
	if !required.reserve(memory.Uploads, uploadBytes) {
		return nil, nil, errNoMemory
	}
	return nil, s.newUpload(r, conn, controller, limited, body, required.reservation), nil
}

// newUpload returns the upload of a body that is too long to be buffered. firstBytes were already read; source provides
// the rest.
func (s *Server) newUpload(
	r *http.Request, conn *Conn, controller *http.ResponseController, source io.Reader, firstBytes []byte,
	reservation *memory.Reservation,
) *exchange.Upload {
	requestNumber := conn.requestNumber
	controller.EnableFullDuplex() // the response may start before the body has been read completely
	conn.uploading.Store(true)
	upload := &exchange.Upload{
		Length:               r.ContentLength,
		Source:               source,
		Budget:               &s.replayBudget,
		Memory:               reservation,
		MarkAwaitingResponse: func() error { return conn.MarkAwaitingResponse(requestNumber) },
		SetReadTimeout: func(timeout time.Duration) {
			controller.SetReadDeadline(time.Now().Add(timeout))
		},
	}
	upload.SetFirstBytes(firstBytes)
	conn.startArrival(upload)
	return upload
}

// pacedReader reads a body and extends its read deadline as bytes arrive.
type pacedReader struct {
	source         io.Reader
	startedAt      time.Time // when reading of the body started
	serverDeadline time.Time // the read deadline that http.Server has set; it is never shortened
	bytesRead      int64
	setDeadline    func(time.Time) error // sets the read deadline of the connection
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
