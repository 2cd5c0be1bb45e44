package config

import "fmt"

// FileError reports a configuration file that cannot be read or used.
type FileError struct {
	Path string
	Err  error
}

// Error returns the path of the file and the reason.
func (e *FileError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }

// Unwrap returns e.Err.
func (e *FileError) Unwrap() error { return e.Err }

// KeyError reports a key of the configuration file, or the environment variable that overrides it, whose value is
// missing or invalid.
type KeyError struct {
	Key string // path in the document, such as limits.sockets
	Err error
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns e.Err.
func (e *KeyError) Unwrap() error { return e.Err }

// MissingKeyError reports that a reloaded file lacks a key that the file in use has.
type MissingKeyError struct {
	Key string // path in the document; list entries are given by their index
}

// Error returns the key.
func (e *MissingKeyError) Error() string {
	return fmt.Sprintf("key %s is missing; a reloaded file must have every key of the configuration in use", e.Key)
}
