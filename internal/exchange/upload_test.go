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

// Uploads take the bytes that they buffer from one budget: the second one, for which it is too small, frees its buffer and
// cannot be read again. Release returns the bytes and ends reading.
func TestUploadsShareOneBufferBudget(t *testing.T) {
	const budgetBytes, readBytes = 100 << 10, 60 << 10
	budget := &BufferBudget{}
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
	if first.Discarded.Load() || !second.Discarded.Load() || len(second.buffered) != 0 {
		t.Errorf("discarded: %v, %v; want only the second, which buffers %d bytes", first.Discarded.Load(), second.Discarded.Load(), len(second.buffered))
	}
	replay := &UploadReader{Upload: first}
	if got, err := io.ReadAll(io.LimitReader(replay, readBytes)); err != nil || !bytes.Equal(got, []byte(sidecartest.LongBody[:readBytes])) {
		t.Errorf("second read of the first upload: %d bytes, %v; want the %d bytes of the first read", len(got), err, readBytes)
	}
	if _, err := (&UploadReader{Upload: second}).Read(make([]byte, 1)); !errors.Is(err, ErrBodyDiscarded) {
		t.Errorf("second read of the discarded upload: %v, want %v", err, ErrBodyDiscarded)
	}
	first.Release()
	second.Release()
	if got := budget.Remaining.Load(); got != budgetBytes {
		t.Errorf("budget after release: %d bytes, want %d", got, budgetBytes)
	}
	if _, err := replay.Read(make([]byte, 1)); err == nil {
		t.Error("read after release succeeded")
	}
}

// The time in which no attempt reads a body counts as time since its last byte, which may have arrived then; the time in
// which an attempt waits for the client does not.
func TestPausesCountAsTimeSinceLastByte(t *testing.T) {
	const pause = time.Minute
	upload := &Upload{}
	upload.ResumeReading()
	if got := upload.SinceLastByte(); got != 0 {
		t.Errorf("%v since the last byte while somebody reads, want 0", got)
	}
	upload.PauseReading(time.Now().Add(-pause))
	upload.ResumeReading()
	if got := upload.SinceLastByte(); got < pause {
		t.Errorf("%v since the last byte after a pause of %v, want as much at least", got, pause)
	}
	upload.MarkReceived(time.Now().Add(-pause))
	upload.PauseReading(time.Now().Add(-pause))
	upload.ResumeReading() // all of the body was read: nothing arrives any more
	if got := upload.SinceLastByte(); got < 2*pause || got >= 3*pause {
		t.Errorf("%v since the last byte, want the pause and the time since it was read, %v", got, 2*pause)
	}
}
