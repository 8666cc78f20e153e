package pgwire

import (
	"math/bits"
	"sync"
)

const (
	// minBuffer is the size of the buffers that are given back while a caller is idle. It holds most requests whole.
	minBuffer = 4 << 10
	// maxPooled is the largest buffer that is kept for reuse.
	maxPooled = 1 << 20
	classes   = 9
)

// pools holds buffers of minBuffer, 2*minBuffer, ... maxPooled bytes.
var pools [classes]sync.Pool

// class returns the pool for buffers of at least n bytes, or -1 when they are not kept.
func class(n int) int {
	if n > maxPooled {
		return -1
	}
	return bits.Len(uint(max(n, minBuffer)-1) / minBuffer)
}

// getBuffer returns a buffer with a length of at least n bytes.
func getBuffer(n int) *[]byte {
	c := class(n)
	if c < 0 {
		b := make([]byte, n)
		return &b
	}
	if b, ok := pools[c].Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, minBuffer<<c)
	return &b
}

// putBuffer gives a buffer from getBuffer back.
func putBuffer(b *[]byte) {
	c := class(len(*b))
	if c >= 0 && len(*b) == minBuffer<<c {
		pools[c].Put(b)
	}
}
