package wire

import (
	"encoding/binary"
	"math"

	"cindersaddle/balance"
)

// portBits is the number of low bits of an endpoint ID that hold the port; the bits above them hold the IPv4 address.
const portBits = 16

// cursor reads the fields of a frame in sequence. A read past the end of the frame sets truncated, and this read and
// all later ones return zero.
type cursor struct {
	data      []byte
	pos       int  // index in data of the next byte
	truncated bool // a read went past the end of data
}

// remaining returns the number of unread bytes.
func (c *cursor) remaining() int { return len(c.data) - c.pos }

// readBytes returns the next n bytes. They share memory with the frame.
func (c *cursor) readBytes(n uint32) []byte {
	if uint64(n) > uint64(c.remaining()) {
		c.truncated = true
		c.pos = len(c.data)
		return nil
	}
	start := c.pos
	c.pos += int(n)
	return c.data[start:c.pos:c.pos]
}

func (c *cursor) readUint8() uint8 {
	if b := c.readBytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) readUint16() uint16 {
	if b := c.readBytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) readUint32() uint32 {
	if b := c.readBytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) readUint64() uint64 {
	if b := c.readBytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// readFloat64 returns the next number, or 0 if it is not finite.
func (c *cursor) readFloat64() float64 {
	value := math.Float64frombits(c.readUint64())
	if !isFinite(value) {
		return 0
	}
	return value
}

// readMilliseconds returns the next time or duration, or 0 if it is not finite.
func (c *cursor) readMilliseconds() balance.Milliseconds {
	return balance.Milliseconds(c.readFloat64())
}

// readFloat32 returns the next number, or 0 if it is not finite.
func (c *cursor) readFloat32() float32 {
	value := math.Float32frombits(c.readUint32())
	if !isFinite(float64(value)) {
		return 0
	}
	return value
}

func (c *cursor) readRequestID() balance.RequestID { return balance.RequestID(c.readUint64()) }

// readEndpointID reads an IPv4 address and a port, and returns the endpoint ID that consists of both.
func (c *cursor) readEndpointID() balance.EndpointID {
	address := uint64(c.readUint32())
	port := uint64(c.readUint16())
	return balance.EndpointID(address<<portBits | port)
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
