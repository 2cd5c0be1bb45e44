package main

import (
	"encoding/binary"
	"fmt"
	"io"
)

// adapterProcess is a running adapter, which answers each frame before the next is written.
type adapterProcess struct {
	input  *io.PipeWriter
	output *io.PipeReader
	ended  chan error
}

func startAdapter() *adapterProcess {
	inputReader, inputWriter := io.Pipe()
	outputReader, outputWriter := io.Pipe()
	process := &adapterProcess{inputWriter, outputReader, make(chan error, 1)}
	go func() {
		err := run(inputReader, outputWriter)
		inputReader.CloseWithError(io.ErrClosedPipe)
		outputWriter.Close()
		process.ended <- err
	}()
	return process
}

// exchange writes a frame and reads its reply, without the header. It returns io.EOF where the adapter ended instead.
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
		return nil, fmt.Errorf("reply length %d", size)
	}
	records := make([]byte, size-replyHeaderSize)
	_, err := io.ReadFull(p.output, records)
	return records, err
}

// stop ends the input and returns the result of run.
func (p *adapterProcess) stop() error {
	p.input.Close()
	return <-p.ended
}
