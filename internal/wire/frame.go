package wire

import (
	"encoding/binary"
	"math"

	"cindersaddle/balance"
)

// maxTextSize bounds the texts in a frame, in bytes; longer ones are cut.
const maxTextSize = math.MaxUint16

// frame is the bytes of a frame to the simulator, to which its fields are appended one after the other.
type frame []byte

// putHeader appends the code and the instance with which an action begins.
func (f *frame) putHeader(code, instance uint16) {
	f.putUint16(code)
	f.putUint16(instance)
}

func (f *frame) putUint8(value uint8) { *f = append(*f, value) }

func (f *frame) putUint16(value uint16) { *f = binary.BigEndian.AppendUint16(*f, value) }

func (f *frame) putUint32(value uint32) { *f = binary.BigEndian.AppendUint32(*f, value) }

func (f *frame) putUint64(value uint64) { *f = binary.BigEndian.AppendUint64(*f, value) }

func (f *frame) putFloat64(value float64) { f.putUint64(math.Float64bits(value)) }

func (f *frame) putMilliseconds(value balance.Milliseconds) { f.putFloat64(float64(value)) }

// putEndpointID appends the address and the port that an ID holds.
func (f *frame) putEndpointID(id balance.EndpointID) {
	f.putUint32(uint32(id >> portBits))
	f.putUint16(uint16(id))
}

// putText appends the length of a text and its bytes.
func (f *frame) putText(text string) {
	text = text[:min(len(text), maxTextSize)]
	f.putUint16(uint16(len(text)))
	*f = append(*f, text...)
}
