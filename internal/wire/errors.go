package wire

import (
	"errors"
	"fmt"
)

var (
	// errTruncatedRecord is returned for a record whose fields extend past the end of the frame.
	errTruncatedRecord = errors.New("record runs past the end of the frame")
	// errUnknownCode is returned for a record whose code is not in the protocol.
	errUnknownCode = errors.New("unknown code")
)

// RecordError reports a record that cannot be decoded, or for which the handler returned an error.
type RecordError struct {
	Index  uint32 // index of the record in its frame, from 0
	Offset int    // offset of the record in its frame, in bytes
	Err    error
}

// Error implements error. It names the record and the reason.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d at byte %d: %v", e.Index, e.Offset, e.Err)
}

// Unwrap returns the reason.
func (e *RecordError) Unwrap() error { return e.Err }

// CodeError reports that a record with a certain code cannot be decoded.
type CodeError struct {
	Code uint16 // code of the record
	Err  error
}

// Error implements error. It names the code and the reason.
func (e *CodeError) Error() string { return fmt.Sprintf("record code %d: %v", e.Code, e.Err) }

// Unwrap returns the reason.
func (e *CodeError) Unwrap() error { return e.Err }

// UnknownValueError reports an enumerated value that is not in the protocol.
type UnknownValueError struct {
	Field string // name of the field
	Value uint16 // the value received
}

// Error implements error. It names the field and the value.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("unknown %s %d", e.Field, e.Value) }

// TableNumberError reports a server table whose number is out of range.
type TableNumberError struct{ Number uint16 }

// Error implements error. It names the number and the valid range.
func (e *TableNumberError) Error() string {
	return fmt.Sprintf("server table %d: want 0 to %d", e.Number, maxServerTables-1)
}

// MissingTableError reports an endpoint update that refers to a server table that the simulator has not sent.
type MissingTableError struct{ Number uint16 }

// Error implements error. It names the number of the table.
func (e *MissingTableError) Error() string {
	return fmt.Sprintf("server table %d was never sent", e.Number)
}
