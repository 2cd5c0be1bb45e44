package sidecar

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"strconv"
)

var errChunk = errors.New("a body with a malformed chunk")

// chunkReader decodes a body in chunks and returns what has come of it. That of net/http waits until it can fill the
// buffer, so that what a slow server has given is held back.
type chunkReader struct {
	in   *bufio.Reader
	left uint64 // of the present chunk
	open bool   // a chunk has begun: a line end follows its data
	err  error
}

func (c *chunkReader) Read(p []byte) (n int, err error) {
	if c.err == nil && c.left == 0 {
		c.err = c.next()
	}
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	n, c.err = c.in.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if c.err == io.EOF {
		c.err = io.ErrUnexpectedEOF
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// next reads up to the data of the next chunk; io.EOF says that the body is whole.
func (c *chunkReader) next() error {
	if c.open {
		if line, err := c.line(); err != nil || len(line) > 0 {
			return cmp.Or(err, errChunk)
		}
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	c.left, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 63)
	if err != nil || size[0] == '+' {
		return errChunk
	}
	if c.open = true; c.left > 0 {
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

// line reads a line; it is as long as the buffer at most, and its text good until the next read.
func (c *chunkReader) line() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
