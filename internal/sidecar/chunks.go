package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"os"
	"strconv"
)

var errChunk = errors.New("a body with a malformed chunk")

// chunkReader decodes a body in chunks and returns what has come of it. That of net/http waits until it can fill the
// buffer, so that what a slow server has given is held back.
type chunkReader struct {
	in   *bufio.Reader
	left uint64 // of the present chunk
	open bool   // a chunk has begun: a line end follows its data
	last bool   // ... and this was the one that ends the body
	err  error
}

func (c *chunkReader) Read(p []byte) (n int, err error) {
	if c.err == nil && c.left == 0 {
		if err := c.next(); err != nil {
			return 0, c.keep(err)
		}
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, err = c.in.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err = c.keep(err); n > 0 {
		return n, nil
	}
	return 0, err
}

// keep notes how the body ended. A deadline ends none: more may come under the next one.
func (c *chunkReader) keep(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return err
}

// next reads up to the data of the next chunk; io.EOF says that the body is whole.
func (c *chunkReader) next() error {
	if c.open {
		line, err := c.line()
		if err != nil || len(line) > 0 {
			return cmp.Or(err, errChunk)
		}
		c.open = false
	}
	if !c.last {
		line, err := c.line()
		if err != nil {
			return err
		}
		size, _, _ := bytes.Cut(line, []byte(";"))
		c.left, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 63)
		if err != nil || size[0] == '+' {
			return errChunk
		}
		c.last = c.left == 0
	}
	if !c.last {
		c.open = true
		return nil
	}
	for { // trailers, which nobody asked for
		line, err := c.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
}

// line reads a line, or nothing: what came of one waits for the rest. It is as long as the buffer at most, and its
// text good until the next read.
func (c *chunkReader) line() ([]byte, error) {
	for {
		got, _ := c.in.Peek(c.in.Buffered())
		if end := bytes.IndexByte(got, '\n'); end >= 0 {
			c.in.Discard(end + 1)
			return bytes.TrimSuffix(got[:end], []byte("\r")), nil
		}
		if _, err := c.in.Peek(len(got) + 1); err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}
