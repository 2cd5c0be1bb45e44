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
	// socketNameFormat is the format of the socket's file name; its argument is a hash of the client address. It
	// contains the program's former name and must not change, because processes of earlier versions use it.
	socketNameFormat = "firplank-%016x.sock"

	// maxSocketPathBytes is the length up to which a Unix socket's path is passed to the kernel as it is. The kernel
	// accepts at most 107 bytes.
	maxSocketPathBytes = 100
)

// SocketPath returns the path of the socket at which a successor finds the process that serves the client address. The
// path may be too long for the kernel.
func SocketPath(scratchDir, clientAddress string) string {
	hash := fnv.New64a()
	io.WriteString(hash, clientAddress)
	return filepath.Join(scratchDir, fmt.Sprintf(socketNameFormat, hash.Sum64()))
}

// unixSocket is the path of a Unix socket, which may be too long for the kernel.
type unixSocket string

// open listens on the socket, replacing any file at its path. Closing the listener does not remove the file, because
// by then a successor may listen at the same path.
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

// listen listens on the socket, whose file must not exist.
func (s unixSocket) listen() (listener *net.UnixListener, err error) {
	err = s.withShortPath(func(path string) error {
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	return listener, err
}

// dial connects to the process that listens on the socket.
func (s unixSocket) dial() (*net.UnixConn, error) {
	var conn net.Conn
	err := s.withShortPath(func(path string) error {
		var err error
		conn, err = net.DialTimeout("unix", path, handoverTimeout)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// withShortPath calls use with a path of the socket that is short enough for the kernel. In place of a path that is
// too long it passes one that reaches the directory through its descriptor in /proc, which is valid only until use
// returns.
func (s unixSocket) withShortPath(use func(path string) error) error {
	if len(s) <= maxSocketPathBytes {
		return use(string(s))
	}
	dir, err := os.Open(filepath.Dir(string(s)))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(string(s))))
}
