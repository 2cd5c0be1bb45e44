package balance

const (
	// keyCounterBuckets is far larger than the number of hot keys.
	keyCounterBuckets = 512
	// keyCounterShift leaves as many bits of a hash as a bucket number has.
	keyCounterShift = 55
	// keyCounterWindow is the number of requests after which older ones count half.
	keyCounterWindow = 1000
	// priorKeyRequests are assumed in addition to the requests counted.
	priorKeyRequests = 60
)

// keyCounter counts recent requests by sticky key. Several keys share a bucket.
type keyCounter struct {
	buckets [keyCounterBuckets]float64
	total   float64 // sum of buckets
}

// bucket returns the count of a key.
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

// fraction returns the fraction of recent requests that are for a key. The first request for a key counts
// in full: it is more likely to be for a hot key.
func (c *keyCounter) fraction(key uint64) float64 {
	return *c.bucket(key) / (c.total + priorKeyRequests)
}
