package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"os"
	"strconv"
)

// maxChunkSizeBits is the width of the largest chunk size; it has to fit into an int64.
const maxChunkSizeBits = 63

// errMalformedChunk is the error of a chunked body with an invalid size or line end.
var errMalformedChunk = errors.New("malformed chunk in the body of a response")

// ChunkedReader decodes a chunked body and returns the bytes that have arrived. The decoder of net/http waits until it
// can fill the caller's buffer, which would delay the bytes that a slow endpoint has already sent.
//
// The zero value with Source set is ready for use. A ChunkedReader is not safe for concurrent use.
type ChunkedReader struct {
	Source *bufio.Reader // positioned at the size line of the first chunk

	chunkRemaining uint64 // bytes of the current chunk that are not yet read
	inChunk bool   // a chunk has begun, and the line end after its data is not yet read
	lastChunkSeen bool   // the chunk of size zero, which ends the body, was read
	err       error  // how the body ended
}

// Read returns decoded bytes as they arrive. It returns io.EOF after the trailers, io.ErrUnexpectedEOF if the
// connection ends earlier, and errMalformedChunk if the framing is invalid. After a deadline of the connection has
// passed, reading may continue under another deadline; all other errors are permanent.
func (c *ChunkedReader) Read(buffer []byte) (n int, err error) {
	if c.err == nil && c.chunkRemaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, c.recordError(err)
		}
	}
	if c.err != nil || len(buffer) == 0 {
		return 0, c.err
	}
	n, err = c.Source.Read(buffer[:min(uint64(len(buffer)), c.chunkRemaining)])
	c.chunkRemaining -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	err = c.recordError(err)
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// recordError stores how the body ended and returns err. An expired deadline does not end the body: more bytes may
// arrive under the next deadline.
func (c *ChunkedReader) recordError(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF at the end of the body.
func (c *ChunkedReader) nextChunk() error {
	if c.inChunk {
		if err := c.readChunkEnd(); err != nil {
			return err
		}
	}
	if !c.lastChunkSeen {
		if err := c.readChunkSize(); err != nil {
			return err
		}
	}
	if c.lastChunkSeen {
		return c.skipTrailers()
	}
	c.inChunk = true
	return nil
}

// readChunkEnd reads the line end that follows the data of a chunk.
func (c *ChunkedReader) readChunkEnd() error {
	line, err := c.readLine()
	if err != nil || len(line) > 0 {
		return cmp.Or(err, errMalformedChunk)
	}
	c.inChunk = false
	return nil
}

// readChunkSize reads the line that gives the size of a chunk, and ignores its extensions.
func (c *ChunkedReader) readChunkSize() error {
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, maxChunkSizeBits)
	if err != nil {
		return errMalformedChunk
	}
	c.chunkRemaining = size
	c.lastChunkSeen = size == 0
	return nil
}

// skipTrailers discards the trailers, which no request allows with a TE header, and returns io.EOF after them.
func (c *ChunkedReader) skipTrailers() error {
	for {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
}

// readLine reads a complete line, or consumes nothing: an incomplete line stays in the buffer. A line may be as long as
// the buffer. The returned slice is valid until the next read.
func (c *ChunkedReader) readLine() ([]byte, error) {
	for {
		buffered, _ := c.Source.Peek(c.Source.Buffered())
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			c.Source.Discard(end + 1)
			return bytes.TrimSuffix(buffered[:end], []byte("\r")), nil
		}
		_, err := c.Source.Peek(len(buffered) + 1)
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}
