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
	frameHeaderSize = 16      // bytes
	maxFrameSize    = 1 << 28 // bytes; far above the size of any frame that the simulator sends
)

// Reader reads frames from the simulator. It retains their server tables for later frames.
type Reader struct {
	input        io.Reader
	body         bytes.Buffer
	serverTables serverTables
	loadReport   []float32 // buffer for the load report of the current record
}

// NewReader returns a Reader of the frames in input. Input should be buffered.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// frameHeader is the header of a frame from the simulator.
type frameHeader struct {
	recordCount uint32
	size        uint32 // of the whole frame, in bytes
	clock       balance.Milliseconds
}

// Read reads the next frame and calls handle for its records, in order, with the clock of the frame. Server tables and
// messages from other instances are not passed to handle. Slices in a record are valid only until handle returns.
//
// Read returns io.EOF if the input ends before the frame begins. It returns a *RecordError if a record is invalid or
// handle returns an error.
func (r *Reader) Read(handle func(clock balance.Milliseconds, record Record) error) error {
	header, err := r.readHeader()
	if err != nil {
		return err
	}
	if err := r.readBody(header.size); err != nil {
		return err
	}
	fields := cursor{data: r.body.Bytes()}
	for i := range header.recordCount {
		start := fields.pos
		if err := r.handleRecord(&fields, header.clock, handle); err != nil {
			return &RecordError{Index: i, Offset: start + frameHeaderSize, Err: err}
		}
	}
	if unread := fields.remaining(); unread != 0 {
		return fmt.Errorf("%d bytes after the last of %d records", unread, header.recordCount)
	}
	return nil
}

// readHeader reads and validates the header of the next frame.
func (r *Reader) readHeader() (frameHeader, error) {
	var data [frameHeaderSize]byte
	if _, err := io.ReadFull(r.input, data[:]); err == io.EOF {
		return frameHeader{}, io.EOF
	} else if err != nil {
		return frameHeader{}, fmt.Errorf("frame header cut short: %w", err)
	}
	header := frameHeader{
		recordCount: binary.BigEndian.Uint32(data[0:]),
		size:        binary.BigEndian.Uint32(data[4:]),
		clock:       balance.Milliseconds(math.Float64frombits(binary.BigEndian.Uint64(data[8:]))),
	}
	if header.size < frameHeaderSize || header.size > maxFrameSize {
		return frameHeader{}, fmt.Errorf("frame length %d: want %d to %d", header.size, frameHeaderSize, maxFrameSize)
	}
	if !isFinite(float64(header.clock)) {
		return frameHeader{}, fmt.Errorf("frame clock is %v", header.clock)
	}
	return header, nil
}

// readBody reads the rest of a frame. The size is that of the whole frame, in bytes. The buffer grows with the data
// that arrives, so that a wrong size in the header does not allocate memory.
func (r *Reader) readBody(size uint32) error {
	r.body.Reset()
	n, err := io.CopyN(&r.body, r.input, int64(size-frameHeaderSize))
	if err != nil {
		return fmt.Errorf("frame of %d bytes cut short after %d: %w", size, n+frameHeaderSize, err)
	}
	return nil
}

// handleRecord decodes a record and passes it to handle, unless the record is ignored.
func (r *Reader) handleRecord(
	fields *cursor, clock balance.Milliseconds, handle func(balance.Milliseconds, Record) error,
) error {
	record, err := r.decodeRecord(fields)
	if err != nil {
		return err
	}
	if record.Kind == recordIgnored {
		return nil
	}
	return handle(clock, record)
}
