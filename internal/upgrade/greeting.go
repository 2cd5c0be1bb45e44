package upgrade

import (
	"bufio"
	"io"
	"net"
)

// greeting is the first line that a successor sends. Processes of earlier versions know it; it has the program's old name.
const greeting = "firplank takes over\n"

// sendGreeting announces a sidecar that takes over.
func sendGreeting(conn net.Conn) error {
	_, err := io.WriteString(conn, greeting)
	return err
}

// receiveGreeting reports whether the other side is a sidecar that takes over.
func receiveGreeting(conn net.Conn) bool {
	line, err := bufio.NewReaderSize(conn, 2*len(greeting)).ReadSlice('\n')
	return err == nil && string(line) == greeting
}
