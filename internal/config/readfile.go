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
	// maxReadAttempts limits the number of attempts to read a file while all errors are transient.
	maxReadAttempts = 20
	// readRetryDelay is the time between two attempts to read a file.
	readRetryDelay = 50 * time.Millisecond
)

// readFile reads a file. It retries after transient errors that are not caused by the file, such as a lack of
// descriptors or memory, or a failed disk read. Without a retry, such an error would reject a valid configuration,
// which is not sent a second time.
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

// isTransient reports whether an error comes from the machine rather than the file, so that another attempt may
// succeed.
func isTransient(err error) bool {
	return socket.Exhausted(err) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EINTR)
}

// readFileOnce makes one attempt to read a file.
func readFileOnce(path string) ([]byte, error) {
	if err := fault.InjectedError(fault.ReadFile); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}
