package upgrade

import (
	"bufio"
	"io"
	"net"
)

// greeting is the first line that a successor sends. It contains the program's former name and must not change,
// because earlier versions expect it.
const greeting = "firplank takes over\n"

// sendGreeting tells the predecessor that the peer is a successor.
func sendGreeting(conn net.Conn) error {
	_, err := io.WriteString(conn, greeting)
	return err
}

// receiveGreeting reports whether the peer sent the greeting of a successor. It rejects a longer line without reading
// all of it.
func receiveGreeting(conn net.Conn) bool {
	line, err := bufio.NewReaderSize(conn, 2*len(greeting)).ReadSlice('\n')
	return err == nil && string(line) == greeting
}
