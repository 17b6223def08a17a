package disk

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestTornWriteWithAFrameInside: a tenant's bytes that look like a frame, in a last write
// whose beginning was lost, do not make the copy count as damaged: it is a write that was
// cut off.
func TestTornWriteWithAFrameInside(t *testing.T) {
	for name, inside := range map[string][]byte{
		"of the first format":      appendCRC(nil, []byte("chosen by a tenant")),
		"under another disk's key": frames{key: &sumKey{1, 2}}.append(nil, 100, []byte("chosen by a tenant")),
	} {
		path := filled(t)
		f, _, err := Open(path)
		must(t, err)
		before := f.Size()
		must(t, f.Append(append(make([]byte, 600), inside...)))
		must(t, f.Close())
		change(t, path, "log-1", func(raw []byte) []byte {
			clear(raw[before : before+512])
			return raw
		})
		_, held, err := Open(path)
		if err != nil || len(held.Frames) != 3 {
			t.Errorf("%s: %d frames, %v", name, len(held.Frames), err)
		}
	}
}

// neutralBlock makes a block that is not zero and adds nothing to a CRC, by linear
// dependence of the sums of its single bits.
func neutralBlock(t *testing.T, size int) []byte {
	t.Helper()
	table := crc32.MakeTable(crc32.Castagnoli)
	zero := crc32.Checksum(make([]byte, size), table)
	type sum struct {
		crc  uint32
		bits []byte
	}
	var basis []sum
	for i := 0; i < 33; i++ {
		block := make([]byte, size)
		block[i/8] = 1 << (i % 8)
		s := sum{crc: crc32.Checksum(block, table) ^ zero, bits: block}
		for _, b := range basis {
			if s.crc^b.crc < s.crc {
				s.crc ^= b.crc
				for j := range s.bits {
					s.bits[j] ^= b.bits[j]
				}
			}
		}
		if s.crc == 0 {
			return s.bits
		}
		basis = append(basis, s)
	}
	t.Fatal("no dependence")
	return nil
}

// TestTornStateWithANeutralBlock: a block of a tenant's choice that was lost from a state
// under way does not go unseen.
func TestTornStateWithANeutralBlock(t *testing.T) {
	const block = 512
	path := filled(t)
	f, _, err := Open(path)
	must(t, err)
	state := make([]byte, 3*block)
	for at := 0; at+block <= len(state); at += block {
		copy(state[at:], neutralBlock(t, block))
	}
	log, err := systemFiles{}.ReadFile(filepath.Join(path, "log-1"))
	must(t, err)
	must(t, f.Replace(state))
	must(t, f.Close())
	// The power went before the log of the new state came into being.
	must(t, systemFiles{}.Remove(filepath.Join(path, "log-0")))
	change(t, path, "log-1", func([]byte) []byte { return log })
	change(t, path, "slot-0", func(raw []byte) []byte {
		clear(raw[len(raw)-2*block : len(raw)-block])
		return raw
	})
	_, held, err := Open(path)
	if err != nil || string(held.Slot) != "first" || len(held.Frames) != 3 {
		t.Errorf("the torn state is taken: %d bytes, %d frames, %v", len(held.Slot), len(held.Frames), err)
	}
}

// TestFormerFormat: a folder of the first format is read, appended to, and written in the
// present one with the next state.
func TestFormerFormat(t *testing.T) {
	path := t.TempDir()
	table := crc32.MakeTable(crc32.Castagnoli)
	slot := binary.LittleEndian.AppendUint64([]byte("SFSLOT01"), 1)
	slot = binary.LittleEndian.AppendUint32(slot, uint32(len("first")))
	slot = binary.LittleEndian.AppendUint32(slot, crc32.Update(crc32.Checksum(slot, table), table, []byte("first")))
	log := appendCRC(binary.LittleEndian.AppendUint64([]byte("SFLOG001"), 1), []byte("one"))
	must(t, writeFile(path, "slot-1", append(slot, "first"...)))
	must(t, writeFile(path, "log-1", log))
	f, held, err := Open(path)
	must(t, err)
	if string(held.Slot) != "first" || len(held.Frames) != 1 {
		t.Fatalf("%+v", held)
	}
	must(t, f.Append([]byte("two")))
	must(t, f.Close())
	f, held, err = Open(path)
	must(t, err)
	if len(held.Frames) != 2 || string(held.Frames[1]) != "two" {
		t.Fatalf("%+v", held)
	}
	must(t, f.Replace([]byte("second")))
	must(t, f.Append([]byte("three")))
	must(t, f.Close())
	raw, err := systemFiles{}.ReadFile(filepath.Join(path, "slot-0"))
	must(t, err)
	if string(raw[:len(slotMagic)]) != slotMagic {
		t.Errorf("written as %q", raw[:len(slotMagic)])
	}
	_, held, err = Open(path)
	must(t, err)
	if string(held.Slot) != "second" || len(held.Frames) != 1 {
		t.Errorf("%+v", held)
	}
}

// TestDamagedKey: without its key nothing of a log can be told from a write that was cut
// off, so a damaged one makes the copy count as lost.
func TestDamagedKey(t *testing.T) {
	for at := len(logMagic); at < logHeadSize; at++ {
		path := filled(t)
		change(t, path, "log-1", func(raw []byte) []byte { raw[at] ^= 1; return raw })
		if _, _, err := Open(path); !errors.Is(err, ErrLost) {
			t.Errorf("byte %d of the head: %v", at, err)
		}
	}
}

func writeFile(path, name string, raw []byte) error {
	return os.WriteFile(filepath.Join(path, name), raw, 0o600)
}
