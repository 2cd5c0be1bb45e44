//go:build faults

package config

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"cindersaddle/internal/fault"
)

// TestLoadReadsAgainAfterPassingErrors checks that a configuration is read in spite of errors that pass, and rejected at once
// for one of the file itself.
func TestLoadReadsAgainAfterPassingErrors(t *testing.T) {
	getenv := func(name string) string {
		if name == envConfigPath {
			return "testdata/config.json"
		}
		return ""
	}
	for _, test := range []struct {
		err   error
		loads bool
		calls int32
	}{
		{syscall.EMFILE, true, 3}, {syscall.ENFILE, true, 3}, {syscall.ENOMEM, true, 3}, {syscall.EIO, true, 3},
		{syscall.EINTR, true, 3}, {syscall.EACCES, false, 1}, {os.ErrNotExist, false, 1},
	} {
		var calls atomic.Int32
		fault.Use(&fault.Plan{Decide: func(call fault.Call) error {
			if call == fault.ReadFile && calls.Add(1) <= 2 {
				return test.err
			}
			return nil
		}})
		_, err := Load(getenv)
		fault.Use(nil)
		if loaded := err == nil; loaded != test.loads || calls.Load() != test.calls {
			t.Errorf("%v: loaded %v after %d calls (%v), want %v after %d", test.err, loaded, calls.Load(), err, test.loads, test.calls)
		}
		var fileError *FileError
		if err != nil && !errors.As(err, &fileError) {
			t.Errorf("%v: error %v is no FileError", test.err, err)
		}
	}
}
