package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestChunkedReaderDecodesAvailableData checks that a chunked body is decoded, and a malformed or incomplete one
// rejected, however the bytes are split into reads, and that data is returned before its chunk is complete.
func TestChunkedReaderDecodesAvailableData(t *testing.T) {
	for text, want := range map[string]error{
		"5\r\nabcde\r\n0\r\n\r\n":                          nil,
		"5;x=1\r\nabcde\r\n00\r\nX-Sum: 1\r\nY: 2\r\n\r\n": nil,
		"1\r\na\r\n4 \r\nbcde\r\n0\r\n\r\n":                nil,
		"":                                                 io.ErrUnexpectedEOF,
		"5\r\nabc":                                         io.ErrUnexpectedEOF,
		"5\r\nabcde\r\n0\r\n":                              io.ErrUnexpectedEOF,
		"zz\r\n":                                           errMalformedChunk,
		"\r\n":                                             errMalformedChunk,
		"-1\r\n":                                           errMalformedChunk,
		"+1\r\na":                                          errMalformedChunk,
		"5\r\nabcdef\r\n":                                  errMalformedChunk,
		"fffffffffffffffff\r\n":                            errMalformedChunk,
		"0x5\r\nabcde\r\n":                                 errMalformedChunk,
	} {
		for _, byteByByte := range []bool{true, false} {
			source := io.Reader(strings.NewReader(text))
			if byteByByte {
				source = iotest.OneByteReader(source)
			}
			got, err := io.ReadAll(&ChunkedReader{Source: bufio.NewReader(source)})
			if !errors.Is(err, want) || want == nil && string(got) != "abcde" {
				t.Errorf("%q (byte by byte: %t): got %q, error %v, want error %v", text, byteByByte, got, err, want)
			}
		}
	}
	source, server := io.Pipe()
	go server.Write([]byte("a\r\nabc")) // the rest of the chunk never arrives
	buffer := make([]byte, 10)
	if n, err := (&ChunkedReader{Source: bufio.NewReader(source)}).Read(buffer); n != 3 || err != nil {
		t.Errorf("incomplete chunk: got %d bytes, error %v, want the 3 bytes that arrived and no error", n, err)
	}
}

// FuzzResponseReader checks that reading a response ends whatever the server sends, with a response or an error, and
// that at most MaxBufferedBody+1 bytes of the body are stored.
func FuzzResponseReader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"))
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.0 200 OK\r\n\r\nserved"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := NewResponseReader(bytes.NewReader(text))
		response, err := reader.Next(http.MethodPost, NopResponseObserver{})
		if response.Head == nil && err == nil || len(response.Body) > MaxBufferedBody+1 {
			t.Errorf("got response %v with %d bytes of body, error %v, want a response or an error, and at most %d bytes",
				response.Head, len(response.Body), err, MaxBufferedBody+1)
		}
	})
}
