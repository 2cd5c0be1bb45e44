package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
)

const (
	// maxResponseHead is the largest size in bytes of the head of a response, including the interim responses ahead of
	// it.
	maxResponseHead = 32 << 10
	// maxChunkedSizeRatio is the largest ratio of the size of a chunked body to the size of its data. It allows for
	// chunks of a single byte.
	maxChunkedSizeRatio = 8
	// firstFinalStatus is the lowest status code of a final response; lower codes are those of interim responses.
	firstFinalStatus = 200
)

// ResponseReader reads the responses on one connection to an endpoint. It is not safe for concurrent use.
type ResponseReader struct {
	*bufio.Reader
	limitedSource *limitedReader // the source of Reader, whose limit is set for each part of a response
}

// NewResponseReader returns a reader of the responses in source, which must be positioned at the start of a response.
func NewResponseReader(source io.Reader) ResponseReader {
	limitedSource := &limitedReader{source: source}
	return ResponseReader{Reader: bufio.NewReader(limitedSource), limitedSource: limitedSource}
}

// Response is the result of ResponseReader.Next.
type Response struct {
	Head      *http.Response
	Body      []byte // the complete body, or the first part of a body that is streamed
	Streaming bool   // the rest of the body must be read from Head.Body
}

// AnnouncedBytes returns how many further bytes of a streamed body the endpoint has announced by the size of the current chunk. It
// is 0 if the body is not chunked.
func (r Response) AnnouncedBytes() int64 { return announcedBytes(r.Head) }

// announcedBytes is Response.AnnouncedBytes for a response whose body is being read.
func announcedBytes(resp *http.Response) int64 {
	if chunked, ok := resp.Body.(*ChunkedReader); ok {
		return int64(chunked.chunkRemaining)
	}
	return 0
}

// Next reads the response to a request with the given method. It also reads the complete body, unless the body is
// streamed:
//   - A body with a Content-Length is streamed if the length exceeds MaxBufferedBody. Response.Body is empty then.
//   - A body of unknown length is streamed if more than MaxBufferedBody bytes arrive or are announced by the size of a chunk.
//   - In a response with status 200, a body of unknown length is also streamed, or fails, if observer.AwaitBody says so.
//   - A body for which there is no memory is streamed.
//
// Next returns an error if the head is malformed, if the head of a response with status 200 does not define where the
// body ends, or if the body ends early. It returns a *SizeError if the head is too large or the Content-Length exceeds
// MaxBody, and os.ErrDeadlineExceeded if observer.AwaitBody fails the body.
func (r ResponseReader) Next(method string, observer ResponseObserver) (Response, error) {
	resp, err := r.readHead(method)
	if err != nil {
		return Response{}, err
	}
	if bodyIgnored(resp) {
		return Response{Head: resp}, nil
	}
	if resp.ContentLength > MaxBody { // fail before the client has received any part of the response
		return Response{}, &SizeError{Part: PartBody, Limit: MaxBody}
	}
	if resp.StatusCode == http.StatusOK && !r.bufferHoldsBody(resp) {
		observer.ResponseStarted(resp.ContentLength)
	}
	r.limitedSource.setLimit(PartBody, maxChunkedSizeRatio*MaxBufferedBody)
	if resp.ContentLength > MaxBufferedBody {
		return Response{Head: resp, Streaming: true}, r.awaitBody()
	}
	body, streamed, err := r.readBody(resp, observer)
	return Response{Head: resp, Body: body, Streaming: streamed}, err
}

// awaitBody waits for the first byte of a streamed body, which may never arrive, and removes the limit for the rest.
func (r ResponseReader) awaitBody() error {
	_, err := r.Peek(1)
	r.limitedSource.setLimit(PartBody, noLimit)
	return err
}

// readBody reads a body of unknown length or of at most MaxBufferedBody bytes. It reports whether the body is
// streamed; if so, it removes the limit for the rest.
func (r ResponseReader) readBody(
	resp *http.Response, observer ResponseObserver,
) (body []byte, streamed bool, err error) {
	reading := bodyReading{resp: resp, observer: observer, unread: UnreadBody{reader: r.Reader, resp: resp}}
	reading.lengthUnknown = resp.StatusCode == http.StatusOK && resp.ContentLength < 0
	body, streamed, err = reading.buffer()
	if streamed {
		r.limitedSource.setLimit(PartBody, noLimit) // the client reads the rest, of any length
	}
	return body, streamed, err
}

// freeBodyBytes is the size of a body in bytes up to which no memory is reserved for it.
const freeBodyBytes = 4 << 10

// bodyReading reads the body of a response into memory.
type bodyReading struct {
	resp          *http.Response
	observer      ResponseObserver
	unread        UnreadBody
	lengthUnknown bool // the observer determines how long to wait for the body, or for memory
	body          []byte
}

// buffer reads the body until its end, until it is known to be longer than MaxBufferedBody, until there is no memory for more of
// it, or until the observer returns StreamBody. In all cases but the first it reports that the body must be streamed.
func (b *bodyReading) buffer() (body []byte, streamed bool, err error) {
	b.body = make([]byte, 0, bodyCapacity(0, b.resp.ContentLength))
	expired := false
	for {
		if longBody(b.resp, len(b.body)) {
			return b.body, true, nil
		}
		switch b.await(expired) {
		case StreamBody:
			return b.body, true, nil
		case FailBody:
			return b.body, false, os.ErrDeadlineExceeded
		}
		n, err := b.resp.Body.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		if err == io.EOF {
			return b.body, len(b.body) > MaxBufferedBody, nil
		}
		expired = errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !expired {
			return b.body, false, err
		}
	}
}

// await returns what to do next, and provides room for more bytes if that is to read them. expired is as in
// ResponseObserver.AwaitBody.
func (b *bodyReading) await(expired bool) BodyStep {
	step := NopResponseObserver{}.AwaitBody(len(b.body), expired)
	if b.lengthUnknown {
		step = b.observer.AwaitBody(len(b.body), expired)
	}
	if step != KeepReading || len(b.body) < cap(b.body) {
		return step
	}
	grown := bodyCapacity(cap(b.body), b.resp.ContentLength)
	if !b.observer.ReserveBody(grown - cap(b.body)) {
		step = StreamBody
		if b.lengthUnknown {
			step = b.observer.AwaitMemory(len(b.body), grown-cap(b.body), b.unread)
		}
	}
	if step == KeepReading {
		b.body = append(make([]byte, 0, grown), b.body...)
	}
	return step
}

// longBody reports whether a body of which bytes have been received is long.
func longBody(resp *http.Response, received int) bool {
	return received > 0 && IsLong(int64(received), announcedBytes(resp))
}

// bodyCapacity returns the next capacity of the buffer of a body: at first freeBodyBytes, then the declared length or, if that is
// unknown, twice the current capacity, but no more than one byte more than a buffered body may have.
func bodyCapacity(current int, declared int64) int {
	if current == 0 {
		return freeBodyBytes
	}
	if declared >= 0 && declared < MaxBufferedBody {
		return max(int(declared)+1, current+1) // one more, so that the end is read before the buffer is full
	}
	return min(2*current, MaxBufferedBody+1)
}

// readHead skips interim responses and reads the head of the final response.
func (r ResponseReader) readHead(method string) (*http.Response, error) {
	r.limitedSource.setLimit(PartHead, maxResponseHead)
	for {
		closeAnnounced := r.announcesClose()
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < firstFinalStatus {
			continue
		}
		if bodyEndUnknown(resp) && !closeAnnounced {
			return ignoreBodyUnlessOK(resp)
		}
		if len(resp.TransferEncoding) > 0 { // always "chunked": http.ReadResponse rejects other encodings
			resp.Body = &ChunkedReader{Source: r.Reader}
		}
		return resp, nil
	}
}
