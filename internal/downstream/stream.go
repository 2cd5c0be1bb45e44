package downstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/memory"
)

const (
	// streamBufferSize is the maximum number of bytes of a streamed response that are read and written at a time.
	streamBufferSize = 16 << 10
	// smallStreamBufferSize is the same if memory is short.
	smallStreamBufferSize = 4 << 10
)

// clientStallTimeout is how long the client of a streamed response may go without accepting a byte. A client that reads
// 64 KiB per second from a full receive buffer of 32 MiB tells its kernel to accept bytes again only every 32 s.
const clientStallTimeout = 40 * time.Second

// streamBufferPool holds buffers of streamBufferSize bytes for reuse.
var streamBufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, streamBufferSize)
	return &buffer
}}

// streamResponse writes a streamed response as fast as the client reads it, and flushes each part.
//
// If the response breaks off, it panics with http.ErrAbortHandler, so that the client does not take the response for a
// complete one: net/http then closes the connection without writing the rest of the declared length or the last chunk.
// In HTTP/1.0, a body of unknown length ends with the connection, so the connection is reset in that case.
func streamResponse(
	w http.ResponseWriter, r *http.Request, conn *Conn, reservation *memory.Reservation, response *exchange.Response,
) {
	download := response.Download
	stop := context.AfterFunc(r.Context(), download.Cancel) // ends the attempt at once if the client disconnects
	defer stop()
	conn.streaming.Store(true)
	writeStreamHead(w, response)
	err := copyDownload(w, reservation, download)
	download.Finish(err)
	if err == nil {
		return
	}
	conn.record.setReason(reasonStreamBroken, err)
	if download.Length < 0 && !r.ProtoAtLeast(1, 1) {
		conn.SetLinger(0) // resets the connection when it is closed
	}
	panic(http.ErrAbortHandler)
}

// writeStreamHead writes the head of a streamed response.
func writeStreamHead(w http.ResponseWriter, response *exchange.Response) {
	header := w.Header()
	maps.Copy(header, response.Header)
	header.Del("Content-Length")
	if length := response.Download.Length; length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(response.Status)
}

// copyDownload writes the body of a streamed response. If the client stops reading, it returns
// exchange.ErrDownloadStopped joined with the cause. If the body cannot be read completely, it returns the read error.
func copyDownload(w http.ResponseWriter, reservation *memory.Reservation, download *exchange.Download) error {
	controller := http.NewResponseController(w)
	first := download.FirstBytes
	download.FirstBytes = nil // so that it can be freed
	if err := writePart(w, controller, first); err != nil {
		return err
	}
	reservation.ShrinkTo(memory.Responses, 0)
	buffer, putBack := streamBuffer(reservation)
	defer putBack()
	for {
		n, readErr := download.Body.Read(buffer)
		if n > 0 {
			if err := writePart(w, controller, buffer[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// streamBuffer returns a buffer for a streamed response, and a function that returns it to its pool.
func streamBuffer(reservation *memory.Reservation) (buffer []byte, putBack func()) {
	if !reservation.Grow(memory.Responses, streamBufferSize) {
		return make([]byte, smallStreamBufferSize), func() {}
	}
	pooled := streamBufferPool.Get().(*[]byte)
	return *pooled, func() { streamBufferPool.Put(pooled) }
}

// writePart writes and flushes a part of a body.
func writePart(w io.Writer, controller *http.ResponseController, part []byte) error {
	if _, err := w.Write(part); err != nil {
		return errors.Join(exchange.ErrDownloadStopped, err)
	}
	if err := controller.Flush(); err != nil {
		return errors.Join(exchange.ErrDownloadStopped, err)
	}
	return nil
}
