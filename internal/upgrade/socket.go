package upgrade

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
)

const (
	// socketNameFormat makes the name of the socket of the hash of the clients' address. Processes of earlier versions
	// know it; it has the program's old name.
	socketNameFormat = "firplank-%016x.sock"

	// maxSocketPath bounds the length of a Unix socket's path, in bytes; the kernel takes 107.
	maxSocketPath = 100
)

// SocketPath returns the path at which a successor finds the process that serves the clients' address listen. The path may
// be too long for the kernel.
func SocketPath(scratchDir, listen string) string {
	hash := fnv.New64a()
	io.WriteString(hash, listen)
	return filepath.Join(scratchDir, fmt.Sprintf(socketNameFormat, hash.Sum64()))
}

// unixSocket is the path of a Unix socket, which may be too long for the kernel.
type unixSocket string

// open listens at the socket, in place of whatever was there. The file stays when the listener is closed: by then the
// path may be a successor's.
func (s unixSocket) open() (*net.UnixListener, error) {
	temporary := unixSocket(fmt.Sprintf("%s.%d", s, os.Getpid()))
	os.Remove(string(temporary))
	listener, err := temporary.listen()
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Rename(string(temporary), string(s)); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// listen listens at the socket, whose file must not exist.
func (s unixSocket) listen() (listener *net.UnixListener, err error) {
	err = s.withShortPath(func(path string) error {
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	return listener, err
}

// dial connects to the process that listens at the socket.
func (s unixSocket) dial() (*net.UnixConn, error) {
	var conn net.Conn
	err := s.withShortPath(func(path string) error {
		var err error
		conn, err = net.DialTimeout("unix", path, predecessorTimeout)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// withShortPath calls use with a path of the socket that is short enough for the kernel.
func (s unixSocket) withShortPath(use func(path string) error) error {
	if len(s) <= maxSocketPath {
		return use(string(s))
	}
	dir, err := os.Open(filepath.Dir(string(s)))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(string(s))))
}
