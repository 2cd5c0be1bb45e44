package http1

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
)

// maxChunkSizeBits is the number of bits of the largest chunk size, which must fit into an int64.
const maxChunkSizeBits = 63

// Errors of a chunked body that cannot be decoded. All of them wrap errMalformedChunk.
var (
	errMalformedChunk   = errors.New("malformed chunk in the body of a response")
	errInvalidChunkSize = fmt.Errorf("%w: want a hexadecimal size of at most %d bits", errMalformedChunk, maxChunkSizeBits)
	errNoChunkEnd       = fmt.Errorf("%w: want a line end after the chunk's data", errMalformedChunk)
)

// ChunkedReader decodes a chunked body and returns its bytes as they arrive. The decoder of net/http waits until it can
// fill the caller's buffer, which would delay the bytes that a slow endpoint has already sent.
//
// The zero value with Source set is ready for use. A ChunkedReader is not safe for concurrent use.
type ChunkedReader struct {
	Source *bufio.Reader // positioned at the size line of the first chunk

	chunkRemaining uint64 // bytes of the current chunk's data that have not been read
	inChunk        bool   // the size of a chunk has been read, but not the line end after its data
	lastChunkSeen  bool   // the chunk of size zero, which ends the body, has been read
	err            error  // the permanent error of Read; io.EOF after a complete body
}

// Read returns decoded bytes as they arrive. It returns io.EOF after the trailers, io.ErrUnexpectedEOF if the
// connection ends earlier, and an error that wraps errMalformedChunk if the framing is invalid. After an expired
// deadline of the connection, reading may continue with another deadline; all other errors are permanent.
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

// Close does nothing. It makes ChunkedReader an io.ReadCloser.
func (c *ChunkedReader) Close() error { return nil }

// recordError stores a permanent error and returns err. An expired deadline is not permanent: more bytes may arrive
// before the next deadline.
func (c *ChunkedReader) recordError(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return err
}

// nextChunk reads up to the data of the next chunk: the line end after the previous chunk, and the size. At the end of
// the body it also reads the trailers and returns io.EOF.
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
		return cmp.Or(err, errNoChunkEnd)
	}
	c.inChunk = false
	return nil
}

// readChunkSize reads the line with the size of a chunk and ignores chunk extensions.
func (c *ChunkedReader) readChunkSize() error {
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, maxChunkSizeBits)
	if err != nil {
		return errInvalidChunkSize
	}
	c.chunkRemaining = size
	c.lastChunkSeen = size == 0
	return nil
}

// skipTrailers discards the trailers and returns io.EOF after them. Trailers need not be forwarded, because no request
// asks for them with a TE header.
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

// readLine reads a complete line and returns it without its line end. The slice is valid until the next read. If
// readLine returns an error, it has consumed nothing: an incomplete line stays in the buffer. A line must fit into the
// buffer.
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
