package disk

import (
	"fmt"
	"testing"
)

func BenchmarkChecksum(b *testing.B) {
	for _, size := range []int{200, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := recordFormat{key: &checksumKey{1, 2}}
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				f.append(nil, 40, body)
			}
		})
	}
}

// BenchmarkSearch measures the search for a record after a torn one.
func BenchmarkSearch(b *testing.B) {
	f := recordFormat{key: &checksumKey{1, 2}}
	rest := make([]byte, 64<<10)
	b.SetBytes(int64(len(rest)))
	for b.Loop() {
		f.containsRecord(rest, 40)
	}
}
