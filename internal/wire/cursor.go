package wire

import (
	"encoding/binary"
	"math"

	"cindersaddle/balance"
)

// portBits is the width of the port in an endpoint ID.
const portBits = 16

// cursor takes values off a frame, one after the other. A read past the end sets short and returns zero, and so do all
// reads after it.
type cursor struct {
	data  []byte
	pos   int
	short bool
}

// remaining returns the number of bytes that were not read.
func (c *cursor) remaining() int { return len(c.data) - c.pos }

// bytes returns the next n bytes, which belong to the frame.
func (c *cursor) bytes(n uint32) []byte {
	if uint64(n) > uint64(c.remaining()) {
		c.short = true
		c.pos = len(c.data)
		return nil
	}
	start := c.pos
	c.pos += int(n)
	return c.data[start:c.pos:c.pos]
}

func (c *cursor) uint8() uint8 {
	if b := c.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) uint16() uint16 {
	if b := c.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) uint32() uint32 {
	if b := c.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if b := c.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// float64 returns the next number, or 0 where it is not finite.
func (c *cursor) float64() float64 {
	value := math.Float64frombits(c.uint64())
	if !isFinite(value) {
		return 0
	}
	return value
}

// milliseconds returns the next point in time or span of time, or 0 where it is not finite.
func (c *cursor) milliseconds() balance.Milliseconds { return balance.Milliseconds(c.float64()) }

// float32 returns the next number, or 0 where it is not finite.
func (c *cursor) float32() float32 {
	value := math.Float32frombits(c.uint32())
	if !isFinite(float64(value)) {
		return 0
	}
	return value
}

func (c *cursor) requestID() balance.RequestID { return balance.RequestID(c.uint64()) }

// endpointID packs the four bytes of an IPv4 address and a port into an ID.
func (c *cursor) endpointID() balance.EndpointID {
	address := uint64(c.uint32())
	port := uint64(c.uint16())
	return balance.EndpointID(address<<portBits | port)
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }
