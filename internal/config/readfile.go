package config

import (
	"errors"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

const (
	// maxReadAttempts and readRetryDelay bound the time in which a file is read again after errors that pass.
	maxReadAttempts = 20
	readRetryDelay  = 50 * time.Millisecond
)

// readFile reads a file, and again after errors that are not those of the file: a machine without descriptors or memory, or
// a disk that fails to read. A configuration that was rejected for one of them would not be sent again.
func readFile(path string) (text []byte, err error) {
	for range maxReadAttempts {
		text, err = readFileOnce(path)
		if !isTransient(err) {
			return text, err
		}
		time.Sleep(readRetryDelay)
	}
	return text, err
}

// isTransient reports whether an error is one of the machine, which may pass.
func isTransient(err error) bool {
	return socket.Exhausted(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR)
}

func readFileOnce(path string) ([]byte, error) {
	if err := fault.Injected(fault.ReadFile); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}
