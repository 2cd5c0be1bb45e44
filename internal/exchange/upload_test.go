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

// TestPausesCountAsTimeSinceLastByte checks that time during which no attempt reads a body counts as time since its
// last byte, because that byte may have arrived then. Time during which an attempt waits for the client does not count.
func TestPausesCountAsTimeSinceLastByte(t *testing.T) {
	const pause = time.Minute
	upload := &Upload{}
	upload.CountReadingPause()
	if got := upload.SinceLastByte(); got != 0 {
		t.Errorf("without a pause: got %v since the last byte, want 0", got)
	}
	upload.MarkReadingPaused(time.Now().Add(-pause))
	upload.CountReadingPause()
	if got := upload.SinceLastByte(); got < pause {
		t.Errorf("got %v since the last byte, want at least the pause of %v", got, pause)
	}
	upload.MarkReceived(time.Now().Add(-pause))
	upload.MarkReadingPaused(time.Now().Add(-pause))
	upload.CountReadingPause() // the body was read completely, so this pause does not count
	if got := upload.SinceLastByte(); got < 2*pause || got >= 3*pause {
		t.Errorf("got %v since the last byte, want the pause plus the time since the byte was read, %v to %v",
			got, 2*pause, 3*pause)
	}
}
