package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"cindersaddle/balance"
)

const (
	headerSize   = 16      // bytes
	maxFrameSize = 1 << 28 // bytes; far above any frame of the simulator
)

// Reader reads frames. The server tables of a frame stay valid for all later frames.
type Reader struct {
	input  io.Reader
	body   bytes.Buffer
	tables tables
	report []float32 // reused for the load report of each event
}

// NewReader returns a reader of the frames of input, which should be buffered.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// frameHeader is the header of a frame.
type frameHeader struct {
	records uint32
	size    uint32 // of the whole frame, in bytes
	clock   balance.Milliseconds
}

// Read calls handle for each record of the next frame that is for an instance, in order, with the clock of the frame. It
// returns io.EOF at the end of input between two frames; errors of a record are a *RecordError. Slices in records are
// valid during the call of handle only.
func (r *Reader) Read(handle func(clock balance.Milliseconds, record Record) error) error {
	header, err := r.readHeader()
	if err != nil {
		return err
	}
	if err := r.readBody(header.size); err != nil {
		return err
	}
	fields := cursor{data: r.body.Bytes()}
	for i := range header.records {
		start := fields.pos
		if err := r.handleRecord(&fields, header.clock, handle); err != nil {
			return &RecordError{Index: i, Offset: start + headerSize, Err: err}
		}
	}
	if rest := fields.remaining(); rest != 0 {
		return fmt.Errorf("%d bytes after the last of %d records", rest, header.records)
	}
	return nil
}

// readHeader reads and checks the header of the next frame.
func (r *Reader) readHeader() (frameHeader, error) {
	var data [headerSize]byte
	if _, err := io.ReadFull(r.input, data[:]); err == io.EOF {
		return frameHeader{}, io.EOF
	} else if err != nil {
		return frameHeader{}, fmt.Errorf("frame header cut short: %w", err)
	}
	header := frameHeader{
		records: binary.BigEndian.Uint32(data[0:]),
		size:    binary.BigEndian.Uint32(data[4:]),
		clock:   balance.Milliseconds(math.Float64frombits(binary.BigEndian.Uint64(data[8:]))),
	}
	if header.size < headerSize || header.size > maxFrameSize {
		return frameHeader{}, fmt.Errorf("frame length %d: want %d to %d", header.size, headerSize, maxFrameSize)
	}
	if !isFinite(float64(header.clock)) {
		return frameHeader{}, fmt.Errorf("frame clock is %v", header.clock)
	}
	return header, nil
}

// readBody reads the rest of a frame of size bytes. The buffer grows with what arrives, not with what the header
// claims.
func (r *Reader) readBody(size uint32) error {
	r.body.Reset()
	n, err := io.CopyN(&r.body, r.input, int64(size-headerSize))
	if err != nil {
		return fmt.Errorf("frame of %d bytes cut short after %d: %w", size, n+headerSize, err)
	}
	return nil
}

// handleRecord decodes one record and passes it to handle, unless it is for no instance.
func (r *Reader) handleRecord(fields *cursor, clock balance.Milliseconds, handle func(balance.Milliseconds, Record) error) error {
	record, err := r.decodeRecord(fields)
	if err != nil {
		return err
	}
	if record.Kind == recordIgnored {
		return nil
	}
	return handle(clock, record)
}
