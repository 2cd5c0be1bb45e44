// Package idregistry remembers the trace IDs of requests that may have been executed, so that none is executed again: neither by
// this process nor by another one that serves the same address during an upgrade.
//
// The registry has a fixed size. It is divided into buckets; an ID is forgotten when bucketSlots newer IDs have been claimed in
// its bucket, on average when as many IDs as the registry holds have been claimed. Time plays no part, because the clocks of two
// processes cannot be compared.
package idregistry

import (
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// bucketCount and bucketSlots define the size: 16,384 IDs in 136 KiB.
	bucketCount = 1024
	bucketSlots = 16
	// emptySlot is the value of a slot without an ID.
	emptySlot = 0
	// fileNameFormat is the format of the name of the file that the processes share; its argument is a hash of the client
	// address.
	fileNameFormat = "trace-ids-%016x"
	// fileMode gives access to the sidecar's own user.
	fileMode = 0o600
)

// table is the memory of a registry, which other processes may change at any time. Its layout is that of the file.
type table struct {
	buckets [bucketCount]bucket
}

// bucket holds hashes of IDs. The next one replaces the slot at next modulo bucketSlots.
type bucket struct {
	next  atomic.Uint64
	slots [bucketSlots]atomic.Uint64
}

// Registry is a set of trace IDs. It is safe for concurrent use, also by several processes.
type Registry struct{ table *table }

// New returns a registry that no other process uses.
func New() *Registry { return &Registry{table: &table{}} }

// Open returns the registry that the processes with the same client address share, in a directory that all of them can access.
func Open(dir, clientAddress string) (*Registry, error) {
	path := filepath.Join(dir, fmt.Sprintf(fileNameFormat, hash(clientAddress)))
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open the registry of trace IDs: %w", err)
	}
	defer file.Close()
	const size = int(unsafe.Sizeof(table{}))
	// Without reserved space, an access to the mapped file could end the process when the file system is full.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(size)); err != nil {
		return nil, fmt.Errorf("reserve space for the registry of trace IDs: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map the registry of trace IDs: %w", err)
	}
	return &Registry{table: (*table)(unsafe.Pointer(&mapped[0]))}, nil
}

// Claim adds an ID and returns true, or returns false if the registry contains it already. If two processes claim an ID at the
// same moment, both may get false, but never both true.
func (r *Registry) Claim(id string) bool {
	value := hash(id)
	bucket := r.bucketOf(value)
	if bucket.count(value) > 0 {
		return false
	}
	slot := &bucket.slots[(bucket.next.Add(1)-1)%bucketSlots]
	slot.Store(value)
	if bucket.count(value) == 1 {
		return true
	}
	slot.CompareAndSwap(value, emptySlot)
	return false
}

// Withdraw removes an ID that was claimed, because its request was certainly not executed.
func (r *Registry) Withdraw(id string) {
	value := hash(id)
	bucket := r.bucketOf(value)
	for i := range bucket.slots {
		bucket.slots[i].CompareAndSwap(value, emptySlot)
	}
}

// bucketOf returns the bucket of a hash.
func (r *Registry) bucketOf(value uint64) *bucket { return &r.table.buckets[value%bucketCount] }

// count returns how many slots of a bucket hold a hash.
func (b *bucket) count(value uint64) int {
	count := 0
	for i := range b.slots {
		if b.slots[i].Load() == value {
			count++
		}
	}
	return count
}

// hash returns the hash of a text, which is never emptySlot and the same in all processes.
func hash(text string) uint64 {
	sum := fnv.New64a()
	io.WriteString(sum, text)
	return max(sum.Sum64(), emptySlot+1)
}
