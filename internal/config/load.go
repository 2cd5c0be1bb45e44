package config

import (
	"errors"
	"os"
	"syscall"
	"time"

	"cindersaddle/internal/fault"
	"cindersaddle/internal/socket"
)

// Environment variables. Each of the overrides replaces a key of the file.
const (
	envConfigPath = "NODE_CONFIG" // the path of the configuration file
	envName       = "NODE_NAME"
	envListen     = "NODE_LISTEN"
	envAdmin      = "NODE_MGMT"
	envDiscovery  = "NODE_DISCOVERY"
	envScratchDir = "TMPDIR"
)

var errPathNotSet = errors.New(envConfigPath + " is not set")

// Load reads the configuration file that NODE_CONFIG names. The other NODE_ variables override its keys. Its errors
// are one line of text; those about the file are a *FileError.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(envConfigPath)
	if path == "" {
		return nil, errPathNotSet
	}
	text, err := readFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	cfg, err := Parse(text, getenv)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	cfg.Reload = func() (*Config, error) { return Load(environmentWithPath(path)) }
	return cfg, nil
}

const (
	// readAttempts and readPause bound the time in which a file is read in spite of errors that pass: a configuration that
	// is turned down is not offered again.
	readAttempts = 20
	readPause    = 50 * time.Millisecond
)

// readFile reads a file, and again after errors that are not those of the file: a machine without descriptors or memory, or
// a disk that fails to read.
func readFile(path string) (text []byte, err error) {
	for range readAttempts {
		text, err = readFileOnce(path)
		if !socket.Exhausted(err) && !errors.Is(err, syscall.EIO) && !errors.Is(err, syscall.EINTR) {
			return text, err
		}
		time.Sleep(readPause)
	}
	return text, err
}

func readFileOnce(path string) ([]byte, error) {
	if err := fault.Injected(fault.ReadFile); err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// environmentWithPath returns an environment that holds the path of the configuration file and nothing else.
func environmentWithPath(path string) func(string) string {
	return func(name string) string {
		if name == envConfigPath {
			return path
		}
		return ""
	}
}
