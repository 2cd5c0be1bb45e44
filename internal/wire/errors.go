package wire

import (
	"errors"
	"fmt"
)

var (
	// errShortRecord is the error of a record whose fields run past the end of the frame.
	errShortRecord = errors.New("record runs past the end of the frame")
	// errUnknownCode is the error of a record whose code is none of the protocol.
	errUnknownCode = errors.New("unknown code")
)

// RecordError reports a record that cannot be decoded, or that its handler did not accept.
type RecordError struct {
	Index  uint32 // of the record in its frame
	Offset int    // of the record in its frame, in bytes
	Err    error
}

// Error names the record and the reason.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d at byte %d: %v", e.Index, e.Offset, e.Err)
}

// Unwrap returns the reason.
func (e *RecordError) Unwrap() error { return e.Err }

// CodeError reports that the content of a record cannot be decoded.
type CodeError struct {
	Code uint16 // of the record
	Err  error
}

// Error names the code and the reason.
func (e *CodeError) Error() string { return fmt.Sprintf("record code %d: %v", e.Code, e.Err) }

// Unwrap returns the reason.
func (e *CodeError) Unwrap() error { return e.Err }

// UnknownValueError reports a value that stands for nothing in the protocol.
type UnknownValueError struct {
	Field string // what the value should say
	Value uint16
}

// Error names the field and the value.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.Field, e.Value) }

// TableNumberError reports a server table whose number is out of range.
type TableNumberError struct{ Number uint16 }

// Error names the number and the range.
func (e *TableNumberError) Error() string {
	return fmt.Sprintf("server table %d: want 0 to %d", e.Number, maxTables-1)
}

// MissingTableError reports an endpoint update that refers to a server table that was never sent.
type MissingTableError struct{ Number uint16 }

// Error names the number of the table.
func (e *MissingTableError) Error() string {
	return fmt.Sprintf("server table %d was never sent", e.Number)
}
