// Command adapter runs instances of package balance for the simulator: frames come in on standard input, one reply to
// each goes out on standard output.
//
// One goroutine does all the work. It ends with status 1 when a frame cannot be decoded or is for an instance that has
// not started; a fault of one instance is reported in the reply.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"cindersaddle/balance"
	"cindersaddle/internal/wire"
)

// inputBufferSize is the size of the buffer of the input, in bytes.
const inputBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run reads frames and writes a reply to each until the input ends.
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
