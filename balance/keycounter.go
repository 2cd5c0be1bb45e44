package balance

const (
	// keyCounterBuckets is the number of buckets. It is far larger than the number of hot keys, so that hot
	// keys rarely share a bucket.
	keyCounterBuckets = 512
	// keyCounterShift reduces a 64-bit hash to the 9 bits of a bucket index.
	keyCounterShift = 55
	// keyCounterWindow is the total count at which all counts are halved, so that older requests lose weight.
	keyCounterWindow = 1000
	// priorKeyRequests is the number of requests for other keys that are assumed in addition to the counted
	// ones, so that the first requests do not make their keys look hot.
	priorKeyRequests = 60
)

// keyCounter counts recent requests by sticky key. Several keys can share a bucket.
type keyCounter struct {
	buckets [keyCounterBuckets]float64
	total   float64 // sum of buckets
}

// bucket returns the counter of a key.
func (c *keyCounter) bucket(key uint64) *float64 {
	return &c.buckets[key*splitMixIncrement>>keyCounterShift]
}

// record counts a request for a key.
func (c *keyCounter) record(key uint64) {
	*c.bucket(key)++
	c.total++
	if c.total < keyCounterWindow {
		return
	}
	for i := range c.buckets {
		c.buckets[i] /= 2
	}
	c.total /= 2
}

// requestFraction returns the fraction of recent requests that are for a key. Even the first request for a
// key counts in full, because it is more likely to be for a hot key.
func (c *keyCounter) requestFraction(key uint64) float64 {
	return *c.bucket(key) / (c.total + priorKeyRequests)
}
