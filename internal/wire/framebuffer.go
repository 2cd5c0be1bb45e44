package wire

import (
	"encoding/binary"
	"math"

	"cindersaddle/balance"
)

// maxTextSize is the largest size of a text in a frame, in bytes. Longer texts are truncated.
const maxTextSize = math.MaxUint16

// frameBuffer holds a frame to the simulator. The put methods append fields.
type frameBuffer []byte

// putActionHeader appends the header of an action: its code and its instance.
func (f *frameBuffer) putActionHeader(code, instance uint16) {
	f.putUint16(code)
	f.putUint16(instance)
}

func (f *frameBuffer) putUint8(value uint8) { *f = append(*f, value) }

func (f *frameBuffer) putUint16(value uint16) { *f = binary.BigEndian.AppendUint16(*f, value) }

func (f *frameBuffer) putUint32(value uint32) { *f = binary.BigEndian.AppendUint32(*f, value) }

func (f *frameBuffer) putUint64(value uint64) { *f = binary.BigEndian.AppendUint64(*f, value) }

func (f *frameBuffer) putFloat64(value float64) { f.putUint64(math.Float64bits(value)) }

func (f *frameBuffer) putMilliseconds(value balance.Milliseconds) { f.putFloat64(float64(value)) }

// putEndpointID appends the IPv4 address and the port of an endpoint ID.
func (f *frameBuffer) putEndpointID(id balance.EndpointID) {
	f.putUint32(uint32(id >> portBits))
	f.putUint16(uint16(id))
}

// putText appends the length of a text in bytes, and the text.
func (f *frameBuffer) putText(text string) {
	text = text[:min(len(text), maxTextSize)]
	f.putUint16(uint16(len(text)))
	*f = append(*f, text...)
}
