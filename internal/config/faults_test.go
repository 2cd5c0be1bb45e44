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

// TestLoadRetriesAfterTransientErrors checks that Load retries after transient errors of the machine, and fails at
// once after an error caused by the file.
func TestLoadRetriesAfterTransientErrors(t *testing.T) {
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
		fault.SetPlan(&fault.Plan{ErrorFor: func(call fault.Call) error {
			if call == fault.ReadFile && calls.Add(1) <= 2 {
				return test.err
			}
			return nil
		}})
		_, err := Load(getenv)
		fault.SetPlan(nil)
		if loaded := err == nil; loaded != test.loads || calls.Load() != test.calls {
			t.Errorf("%v: got loaded %v after %d calls (error %v), want %v after %d",
				test.err, loaded, calls.Load(), err, test.loads, test.calls)
		}
		var fileError *FileError
		if err != nil && !errors.As(err, &fileError) {
			t.Errorf("%v: got error %v (%T), want a *FileError", test.err, err, err)
		}
	}
}
