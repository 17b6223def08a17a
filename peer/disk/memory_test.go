package disk

import (
	"io"
	"runtime"
	"testing"
)

// discarder is a Visitor that keeps nothing.
type discarder struct{ records int }

func (*discarder) VisitState(state io.Reader) error {
	_, err := io.Copy(io.Discard, state)
	return err
}

func (d *discarder) VisitRecord([]byte) error {
	d.records++
	return nil
}

// allocated returns how many bytes are allocated by a function.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestMemoryOfALargeState guards against a start or a new slot that takes several times the memory of the
// stored state.
func TestMemoryOfALargeState(t *testing.T) {
	const (
		chunkBytes = 64 << 10
		chunks     = 512
		records    = 40
	)
	chunk := make([]byte, chunkBytes)
	encode := func(out io.Writer) error {
		for range chunks {
			if _, err := out.Write(chunk); err != nil {
				return err
			}
		}
		return nil
	}
	path := t.TempDir()
	s, _, err := Open(path)
	must(t, err)
	// A quarter of the state is more than the buffers and less than a copy.
	const most = chunks * chunkBytes / 4
	if got := allocated(func() { must(t, s.ReplaceWith(encode)) }); got > most {
		t.Errorf("%d bytes are allocated for a slot of %d", got, chunks*chunkBytes)
	}
	for range records {
		must(t, s.Append(chunk))
	}
	must(t, s.Close())
	visitor := &discarder{}
	got := allocated(func() {
		s, _, err = Visit(System, path, visitor)
		must(t, err)
	})
	if must(t, s.Close()); got > most || visitor.records != records {
		t.Errorf("%d bytes are allocated to open a slot of %d and %d records of %d", got, chunks*chunkBytes, visitor.records, chunkBytes)
	}
}
