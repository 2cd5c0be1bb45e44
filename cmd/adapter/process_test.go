package main

import (
	"encoding/binary"
	"fmt"
	"io"
)

// adapterProcess is an adapter that runs in a goroutine. It replies to each frame before the next frame is written.
type adapterProcess struct {
	input     *io.PipeWriter
	output    *io.PipeReader
	runResult chan error // the result of run
}

// startAdapter starts an adapter in a goroutine.
func startAdapter() *adapterProcess {
	inputReader, inputWriter := io.Pipe()
	outputReader, outputWriter := io.Pipe()
	process := &adapterProcess{inputWriter, outputReader, make(chan error, 1)}
	go func() {
		err := run(inputReader, outputWriter)
		inputReader.CloseWithError(io.ErrClosedPipe)
		outputWriter.Close()
		process.runResult <- err
	}()
	return process
}

// exchange writes a frame and returns its reply without the header. It returns io.EOF if the adapter ended without a
// reply.
func (p *adapterProcess) exchange(frame []byte) ([]byte, error) {
	if _, err := p.input.Write(frame); err != nil {
		return nil, err
	}
	var header [replyHeaderSize]byte
	if _, err := io.ReadFull(p.output, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < replyHeaderSize {
		return nil, fmt.Errorf("got reply length %d, want at least %d", size, replyHeaderSize)
	}
	records := make([]byte, size-replyHeaderSize)
	_, err := io.ReadFull(p.output, records)
	return records, err
}

// stop closes the input, waits until the adapter has ended and returns the result of run.
func (p *adapterProcess) stop() error {
	p.input.Close()
	return <-p.runResult
}
