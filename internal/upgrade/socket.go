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

// unixSocket is the Unix socket at which a successor finds the process that serves a clients' address. It does not change.
type unixSocket struct {
	dir  string // the scratch directory
	name string
}

// newUnixSocket returns the socket in dir for the clients' address listen. It opens nothing.
func newUnixSocket(dir, listen string) unixSocket {
	hash := fnv.New64a()
	io.WriteString(hash, listen)
	return unixSocket{dir: dir, name: fmt.Sprintf(socketNameFormat, hash.Sum64())}
}

// path returns the path of the socket, which may be too long for the kernel.
func (s unixSocket) path() string { return filepath.Join(s.dir, s.name) }

// open listens at the socket, in place of whatever was there. The file stays when the listener is closed: by then the
// path may be a successor's.
func (s unixSocket) open() (*net.UnixListener, error) {
	temporary := unixSocket{dir: s.dir, name: fmt.Sprintf("%s.%d", s.name, os.Getpid())}
	os.Remove(temporary.path())
	listener, err := temporary.listen()
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Rename(temporary.path(), s.path()); err != nil {
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
	if path := s.path(); len(path) <= maxSocketPath {
		return use(path)
	}
	dir, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), s.name))
}
