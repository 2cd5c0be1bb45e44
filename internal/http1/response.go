package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
)

const (
	// maxResponseHead bounds the bytes of the head of a response, with the interim responses ahead of it.
	maxResponseHead = 32 << 10
	// maxChunkOverhead bounds how many times larger than its data a chunked body may be: a chunk may hold one byte.
	maxChunkOverhead = 8
	// headPart and bodyPart are the parts of a response that have limits.
	headPart = "head"
	bodyPart = "body"
	// noLimit lets a limitedReader read any number of bytes.
	noLimit = math.MaxInt
	// firstFinalStatus is the lowest status code that is not the one of an interim response.
	firstFinalStatus = 200
)

var errUnterminated = errors.New("response without Content-Length, Transfer-Encoding or Connection: close")

// SizeError means that a part of a response exceeds its limit.
type SizeError struct {
	Part  string // "head" or "body"
	Limit int    // in bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of a response larger than %d bytes", e.Part, e.Limit)
}

// limitedReader returns a *SizeError after a number of bytes. http.ReadResponse bounds neither the head of a response
// nor the interim responses ahead of it: a server whose head does not end would exhaust the memory.
type limitedReader struct {
	source    io.Reader
	remaining int // bytes that may still be read
	exceeded  SizeError
}

// setLimit lets a part of a response have limit bytes from now on.
func (l *limitedReader) setLimit(part string, limit int) {
	l.remaining = limit
	l.exceeded = SizeError{Part: part, Limit: limit}
}

func (l *limitedReader) Read(buffer []byte) (int, error) {
	if l.remaining <= 0 {
		exceeded := l.exceeded
		return 0, &exceeded
	}
	n, err := l.source.Read(buffer[:min(len(buffer), l.remaining)])
	l.remaining -= n
	return n, err
}

// ResponseObserver is notified of the progress of a response. Its methods are called by the goroutine that calls
// ResponseReader.Next.
type ResponseObserver interface {
	// ResponseStarted is called when the head of a response with status 200 has arrived, but not its complete body.
	ResponseStarted()
	// ShortenDeadline is called before bytes are read that have to arrive soon.
	ShortenDeadline()
	// ShortenedDeadlineExpired reports, after a read ended by a deadline, whether that was the one of ShortenDeadline. A
	// cancellation and the usual deadline end reads in the same way, but then nobody waits for the rest of the response.
	ShortenedDeadlineExpired() bool
	// RestoreDeadline is called after ShortenDeadline when the usual deadline applies again.
	RestoreDeadline()
}

// IgnoreProgress is a ResponseObserver that does nothing.
type IgnoreProgress struct{}

// ResponseStarted does nothing.
func (IgnoreProgress) ResponseStarted() {}

// ShortenDeadline does nothing.
func (IgnoreProgress) ShortenDeadline() {}

// ShortenedDeadlineExpired returns false: no deadline is shortened.
func (IgnoreProgress) ShortenedDeadlineExpired() bool { return false }

// RestoreDeadline does nothing.
func (IgnoreProgress) RestoreDeadline() {}

// ResponseReader reads the responses that arrive on one connection to a server. It is not safe for concurrent use.
type ResponseReader struct {
	*bufio.Reader
	limit *limitedReader // the source of Reader
}

// NewResponseReader returns a reader of the responses that arrive from source, which must be at the start of one.
func NewResponseReader(source io.Reader) ResponseReader {
	limit := &limitedReader{source: source}
	return ResponseReader{Reader: bufio.NewReader(limit), limit: limit}
}

// Response is a response as Next reads it.
type Response struct {
	Head      *http.Response
	Body      []byte // complete, or the first part of a streamed one
	Streaming bool   // the body is long: the rest of it is still to be read from Head.Body
}

// Next reads the response to a request with the given method, and its body unless that is long.
//
// A body with an announced length is long if it exceeds MaxBufferedBody; Body is empty then. A body of unknown length
// is long if it turns out to exceed MaxBufferedBody, or, in a response with status 200, if it does not arrive
// completely within the deadline that observer.ShortenDeadline sets, as its length cannot be predicted. It is not long
// if something else interrupts the read: observer.ShortenedDeadlineExpired tells.
//
// Next returns an error if the head is malformed, if a response with status 200 does not say where it ends, and if the
// body ends early. It returns a *SizeError if the head is too large or the response announces more than MaxBody bytes.
func (r ResponseReader) Next(method string, observer ResponseObserver) (Response, error) {
	resp, err := r.readHead(method)
	if err != nil {
		return Response{}, err
	}
	if bodyIgnored(resp) {
		return Response{Head: resp}, nil
	}
	if resp.ContentLength > MaxBody { // fails before the client has read any of it
		return Response{}, &SizeError{Part: bodyPart, Limit: MaxBody}
	}
	if resp.StatusCode == http.StatusOK && !r.bufferHoldsBody(resp) {
		observer.ResponseStarted()
	}
	r.limit.setLimit(bodyPart, maxChunkOverhead*MaxBufferedBody)
	if resp.ContentLength > MaxBufferedBody {
		return Response{Head: resp, Streaming: true}, r.awaitBody()
	}
	body, long, err := r.readBody(resp, observer)
	return Response{Head: resp, Body: body, Streaming: long}, err
}

// awaitBody waits for the first byte of a long body, which may never arrive, and lifts the limit for the rest.
func (r ResponseReader) awaitBody() error {
	_, err := r.Peek(1)
	r.limit.setLimit(bodyPart, noLimit)
	return err
}

// readBody reads a body of unknown length or of at most MaxBufferedBody bytes. It reports whether the body is long, and
// lifts the limit for the rest then.
func (r ResponseReader) readBody(resp *http.Response, observer ResponseObserver) (body []byte, long bool, err error) {
	mayStream := resp.StatusCode == http.StatusOK && resp.ContentLength < 0
	if mayStream {
		observer.ShortenDeadline()
		defer observer.RestoreDeadline()
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBody+1))
	long = len(body) > MaxBufferedBody
	if mayStream && len(body) > 0 && errors.Is(err, os.ErrDeadlineExceeded) && observer.ShortenedDeadlineExpired() {
		long = true
		err = nil
	}
	if long {
		r.limit.setLimit(bodyPart, noLimit) // as much as the client reads
	}
	return body, long, err
}

// readHead reads up to the body of the final response and skips interim responses.
func (r ResponseReader) readHead(method string) (*http.Response, error) {
	r.limit.setLimit(headPart, maxResponseHead)
	for {
		closes := r.announcesClose()
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < firstFinalStatus {
			continue
		}
		if unterminated(resp, closes) {
			return ignoreBody(resp)
		}
		if len(resp.TransferEncoding) > 0 { // "chunked": ReadResponse rejects all others
			resp.Body = io.NopCloser(&ChunkedReader{Source: r.Reader})
		}
		return resp, nil
	}
}

// ignoreBody handles a response that does not say where its body ends. With status 200 it is an error; with another one
// the head is sufficient, and the connection must not be used again.
func ignoreBody(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode == http.StatusOK {
		return nil, errUnterminated
	}
	resp.Close = true
	resp.Body = http.NoBody
	return resp, nil
}

// bodyIgnored reports whether ignoreBody removed the body of a response, or it has none and its connection ends.
func bodyIgnored(resp *http.Response) bool {
	return resp.Body == http.NoBody && resp.Close && resp.StatusCode != http.StatusOK
}

// bufferHoldsBody reports whether the complete body is in the buffer.
func (r ResponseReader) bufferHoldsBody(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return int64(r.Buffered()) >= resp.ContentLength
	}
	buffered, _ := r.Peek(r.Buffered())
	return len(resp.TransferEncoding) > 0 && bytes.HasSuffix(buffered, []byte("0\r\n\r\n"))
}

// announcesClose reports whether the next head announces that the connection ends with its response. net/http does not
// tell: it removes the header, and sets Close for every response without a length. A head that does not fit into the
// buffer, which no known server sends, counts as announcing nothing.
func (r ResponseReader) announcesClose() bool {
	for { // waits for no more than the end of the head, as nothing may follow it
		head, _ := r.Peek(r.Buffered())
		if end := bytes.Index(head, []byte("\n\r\n")); end >= 0 {
			return hasCloseToken(head[:end])
		}
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return false
		}
	}
}

// unterminated reports whether a body extends to the end of the connection although the server did not announce that it
// would end the connection: reading such a body may never finish.
func unterminated(resp *http.Response, closes bool) bool {
	closes = closes || !resp.ProtoAtLeast(1, 1)
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !closes
}

// hasCloseToken reports whether a Connection header in head lists "close".
func hasCloseToken(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for token := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				return true
			}
		}
	}
	return false
}
