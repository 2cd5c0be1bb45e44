// Command adapter runs instances of package balance for the simulator. It reads frames from standard input and writes a
// reply to each frame to standard output.
//
// All work is done in one goroutine. The command exits with status 1 if a frame cannot be read or decoded, if an event
// is for an instance that is not running, or if a reply cannot be written. A fault of an instance is reported in the
// reply and does not end the command.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"cindersaddle/balance"
	"cindersaddle/internal/wire"
)

// inputBufferSize is the size of the buffer for standard input, in bytes.
const inputBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run reads frames from input and writes a reply to each frame to output, until the input ends.
func run(input io.Reader, output io.Writer) error {
	host := host{balancers: map[uint16]*balance.Balancer{}}
	reader := wire.NewReader(bufio.NewReaderSize(input, inputBufferSize))
	for {
		host.reply.Reset()
		err := reader.Read(host.handle)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := host.reply.WriteTo(output); err != nil {
			return err
		}
	}
}
