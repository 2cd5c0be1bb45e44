package socket

import (
	"net"
	"time"

	"cindersaddle/internal/fault"
)

// ReadConn reads from a connection. It retries after transient errors, until the read deadline of the connection
// expires. The parameter call identifies the system call for fault injection.
func ReadConn(conn net.Conn, buffer []byte, call fault.Call) (int, error) {
	for {
		n, err := readOnce(conn, buffer, call)
		if n > 0 || !Transient(err) {
			return n, err
		}
		time.Sleep(RetryDelay)
	}
}

// readOnce makes one read call.
func readOnce(conn net.Conn, buffer []byte, call fault.Call) (int, error) {
	if err := fault.InjectedError(call); err != nil {
		return 0, err
	}
	return conn.Read(buffer[:fault.TransferLimit(call, len(buffer))])
}

// WriteConn writes all bytes to a connection. It continues after transient errors, until the write deadline of the
// connection expires. If it returns an error, written is the number of bytes that the kernel has accepted. The
// parameter call identifies the system call for fault injection.
func WriteConn(conn net.Conn, data []byte, call fault.Call) (written int, err error) {
	for {
		n, err := writeOnce(conn, data[written:], call)
		written += n
		switch {
		case err == nil && written == len(data):
			return written, nil
		case err == nil:
			continue
		case !Transient(err):
			return written, err
		}
		time.Sleep(RetryDelay)
	}
}

// writeOnce makes one write call, which may accept only a part of the bytes.
func writeOnce(conn net.Conn, data []byte, call fault.Call) (int, error) {
	if err := fault.InjectedError(call); err != nil {
		return 0, err
	}
	return conn.Write(data[:fault.TransferLimit(call, len(data))])
}
