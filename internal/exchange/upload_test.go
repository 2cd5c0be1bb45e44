package exchange

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"cindersaddle/internal/sidecartest"
)

// TestUploadsShareOneBufferBudget checks that the buffers of all uploads count against one budget: the second upload, which
// exceeds it, discards its buffer and cannot be read again. Release returns the bytes to the budget and ends reading.
func TestUploadsShareOneBufferBudget(t *testing.T) {
	const budgetBytes, readBytes = 100 << 10, 60 << 10
	budget := &ReplayBudget{}
	budget.Remaining.Store(budgetBytes)
	newUpload := func() *Upload {
		return &Upload{Source: strings.NewReader(sidecartest.LongBody), SetReadTimeout: func(time.Duration) {}, Budget: budget}
	}
	first, second := newUpload(), newUpload()
	for _, upload := range []*Upload{first, second} {
		if _, err := io.CopyN(io.Discard, &UploadReader{Upload: upload}, readBytes); err != nil {
			t.Fatal(err)
		}
	}
	if first.Discarded.Load() || !second.Discarded.Load() || second.buffered.length != 0 {
		t.Errorf("got discarded %v and %v, with %d bytes buffered in the second; want false and true, with 0 bytes",
			first.Discarded.Load(), second.Discarded.Load(), second.buffered.length)
	}
	replay := &UploadReader{Upload: first}
	got, err := io.ReadAll(io.LimitReader(replay, readBytes))
	if err != nil || !bytes.Equal(got, []byte(sidecartest.LongBody[:readBytes])) {
		t.Errorf("second read of the first upload: got %d bytes, %v; want the %d bytes of the first read",
			len(got), err, readBytes)
	}
	if _, err := (&UploadReader{Upload: second}).Read(make([]byte, 1)); !errors.Is(err, ErrBodyDiscarded) {
		t.Errorf("second read of the discarded upload: got %v, want %v", err, ErrBodyDiscarded)
	}
	first.Release()
	second.Release()
	if got := budget.Remaining.Load(); got != budgetBytes {
		t.Errorf("budget after release: got %d bytes, want %d", got, budgetBytes)
	}
	if _, err := replay.Read(make([]byte, 1)); err == nil {
		t.Error("read after release: got no error, want one")
	}
}
