package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"

	"cindersaddle/balance"
)

// decodeHex decodes hexadecimal text, ignoring spaces and line breaks.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads frames until the input ends or a frame is invalid. It returns all records and the clock of the last.
func readAll(r *Reader) ([]Record, balance.Milliseconds, error) {
	var records []Record
	var lastClock balance.Milliseconds
	for {
		err := r.Read(func(clock balance.Milliseconds, record Record) error {
			records, lastClock = append(records, record), clock
			return nil
		})
		if err == io.EOF {
			return records, lastClock, nil
		}
		if err != nil {
			return records, lastClock, err
		}
	}
}

const (
	emptyFrame  = "00000000 00000010 40c06e2000000000"
	eventsFrame = `00000003 00000052 40c06e2000000000
		03f2 0003 0002978f5d3a91c4 0000 4028000000000000 0001 91f03b7c55d20a64 406e000000000000 0000
		03fc 0003 000000000000004d
		044c 0005 000b677a0e6f2b19`
	listFrame = `00000002 00000051 40c06e2000000000
		03e8 0000 00000002
		0000000000000000 00 0a124a07 232b 3f800000 0000 00 00
		40b7d40000000000 00 0a9011f2 2354 3fc00000 0000 01 00
		0410 0003 01 00000029 0000`
	endedFrame = `00000001 0000002f 40c06e2000000000
		0442 0003 0002978f5d3a91c4 00 0a124a07 232b 0000 4032800000000000 01 00`
)

// TestReaderDecodesExampleFrames checks that the example frames of the protocol are decoded to the
// right records.
func TestReaderDecodesExampleFrames(t *testing.T) {
	in := decodeHex(t, emptyFrame+eventsFrame+listFrame+endedFrame)
	records, clock, err := readAll(NewReader(bytes.NewReader(in)))
	if err != nil {
		t.Fatal(err)
	}
	if clock != 8412.25 || len(records) != 5 {
		t.Fatalf("got clock %v and %d records, want 8412.25 and 5", clock, len(records))
	}
	request, ok := records[0].Event.(balance.Request)
	want := balance.Request{ID: 0x2978f5d3a91c4, WorkHint: 12, StickyKey: 0x91f03b7c55d20a64, Remaining: 240}
	if !ok || request != want || records[0].Instance != 3 {
		t.Errorf("got request record %+v, want %+v for instance 3", records[0], want)
	}
	if event := records[1].Event; event != any(balance.TimerFired{Token: 77}) {
		t.Errorf("got event %+v, want a fired timer with token 77", event)
	}
	wantGone := balance.ClientGone{Request: 0xb677a0e6f2b19}
	if event := records[2].Event; event != any(wantGone) || records[2].Instance != 5 {
		t.Errorf("got record %+v, want ClientGone %+v for instance 5", records[2], wantGone)
	}
	update := records[3].Event.(balance.EndpointUpdate)
	if update.Kind != balance.UpdateCachedSnapshot || len(update.Endpoints) != 2 {
		t.Fatalf("got endpoint update %+v, want a cached snapshot of 2 endpoints", update)
	}
	second := balance.Endpoint{ID: 0x0a9011f22354, StartedAt: 6100, Rating: 1.5, Zone: 1}
	if update.Endpoints[0].ID != 0x0a124a07232b || update.Endpoints[1] != second {
		t.Errorf("got endpoints %+v, want the first with ID %d, the second %+v", update.Endpoints, 0x0a124a07232b, second)
	}
	outcome := records[4].Event.(balance.Outcome)
	if outcome.Request != 0x2978f5d3a91c4 || outcome.Endpoint != 0x0a124a07232b || outcome.Duration != 18.5 ||
		!outcome.Finished || outcome.Result != balance.OK {
		t.Errorf("got outcome %+v, want OK and finished after 18.5 ms, request %d, endpoint %d",
			outcome, 0x2978f5d3a91c4, 0x0a124a07232b)
	}
}

// TestReplyEncodesExampleFrame compares a reply with the example frame of the protocol, byte by byte.
func TestReplyEncodesExampleFrame(t *testing.T) {
	var r Reply
	r.Reset()
	r.AddActions(3, []balance.Action{
		{Kind: balance.SendAttempt, Request: 0x2978f5d3a91c4, Deadline: 8492, Endpoint: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, Delay: 500},
	})
	r.AddActions(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000049
		03e8 0003 0002978f5d3a91c4 40c0960000000000 0a124a07232b
		0410 0003 000000000000004d 407f400000000000
		0438 0005 0011 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

// TestReaderSkipsPeerMessages checks that messages from other instances are skipped, whatever their content, and that
// the record after them is decoded.
func TestReaderSkipsPeerMessages(t *testing.T) {
	for name, message := range map[string]string{
		"empty": "0000", "a byte": "0001 00", "noise": "0003 ffffff", "long": "0010 000102030405060708090a0b0c0d0e0f",
	} {
		body := decodeHex(t, "041a 0003 ffff "+message+" 03fc 0003 000000000000004d")
		frame := append(decodeHex(t, fmt.Sprintf("00000002 %08x 40c06e2000000000", len(body)+frameHeaderSize)), body...)
		var events []any
		err := NewReader(bytes.NewReader(frame)).Read(func(_ balance.Milliseconds, record Record) error {
			events = append(events, record.Event)
			return nil
		})
		if err != nil || len(events) != 1 || events[0] != (balance.TimerFired{Token: 77}) {
			t.Errorf("%s message: got events %v and error %v, want one fired timer with token 77", name, events, err)
		}
	}
}

// TestReaderRejectsMalformedFrames checks that each malformed frame is reported as an error.
func TestReaderRejectsMalformedFrames(t *testing.T) {
	for name, frame := range map[string]string{
		"header cut short":     "00000000 0000",
		"length under header":  "00000000 0000000f 40c06e2000000000",
		"length past the end":  "00000001 00000050 40c06e2000000000 03fc",
		"huge length":          "00000001 ffffffff 40c06e2000000000",
		"clock not a number":   "00000000 00000010 7ff8000000000000",
		"unknown code":         "00000001 00000014 40c06e2000000000 ffff 0003",
		"record cut short":     "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"bytes left over":      "00000000 00000012 40c06e2000000000 0000",
		"count past the end":   "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past end":    "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"table never sent":     "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
		"table out of range":   "00000001 00000018 40c06e2000000000 03e8 0010 00000000",
		"unknown list kind":    "00000001 0000001b 40c06e2000000000 0410 0003 07 00000001 0000",
		"unknown result":       strings.Replace(endedFrame, "232b 0000", "232b 0055", 1),
		"more records claimed": strings.Replace(endedFrame, "00000001", "00000002", 1),
	} {
		records, _, err := readAll(NewReader(bytes.NewReader(decodeHex(t, frame))))
		if err == nil {
			t.Errorf("%s: got records %+v and no error, want an error", name, records)
		}
	}
}

// FuzzReader checks that the reader does not panic for any input, and that an input shorter than a frame header is
// reported as an error. The seed corpus runs in CI as an ordinary test.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, listFrame, endedFrame, eventsFrame + listFrame} {
		f.Add(decodeHex(f, frame))
	}
	f.Add(decodeHex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		records, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < frameHeaderSize {
			t.Fatalf("input of %d bytes: got %d records and no error, want an error", len(in), len(records))
		}
	})
}
