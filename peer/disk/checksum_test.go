package disk

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestTornWriteWithARecordInside guards against reporting damage when a torn last write
// contains tenant-chosen bytes that look like a record.
func TestTornWriteWithARecordInside(t *testing.T) {
	for name, embedded := range map[string][]byte{
		"of the first format":      appendRecordV1(nil, []byte("chosen by a tenant")),
		"under another disk's key": recordFormat{key: &checksumKey{1, 2}}.append(nil, 100, []byte("chosen by a tenant")),
	} {
		path := newStore(t)
		s, _, err := Open(path)
		must(t, err)
		before := s.Size()
		must(t, s.Append(append(make([]byte, 600), embedded...)))
		must(t, s.Close())
		rewriteFile(t, path, "log-1", func(raw []byte) []byte {
			clear(raw[before : before+512])
			return raw
		})
		_, contents, err := Open(path)
		if err != nil || len(contents.Records) != 3 {
			t.Errorf("%s: %d records, %v", name, len(contents.Records), err)
		}
	}
}

// neutralBlock returns a non-zero block that leaves a CRC unchanged, by linear dependence of
// the CRCs of its single bits.
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
	t.Fatal("no linearly dependent bits found")
	return nil
}

// TestTornStateWithANeutralBlock guards against accepting a torn slot that lacks a block
// whose loss leaves a CRC unchanged.
func TestTornStateWithANeutralBlock(t *testing.T) {
	const block = 512
	path := newStore(t)
	s, _, err := Open(path)
	must(t, err)
	state := make([]byte, 3*block)
	for at := 0; at+block <= len(state); at += block {
		copy(state[at:], neutralBlock(t, block))
	}
	log, err := os.ReadFile(filepath.Join(path, "log-1"))
	must(t, err)
	must(t, s.Replace(state))
	must(t, s.Close())
	// Simulates a power failure before the log of the new state was installed.
	must(t, systemFiles{}.Remove(filepath.Join(path, "log-0")))
	rewriteFile(t, path, "log-1", func([]byte) []byte { return log })
	rewriteFile(t, path, "slot-0", func(raw []byte) []byte {
		clear(raw[len(raw)-2*block : len(raw)-block])
		return raw
	})
	_, contents, err := Open(path)
	if err != nil || string(contents.State) != "first" || len(contents.Records) != 3 {
		t.Errorf("a torn state was accepted: %d bytes, %d records, %v", len(contents.State), len(contents.Records), err)
	}
}

// TestFormatOne checks that the first format is read and appended to until Replace.
func TestFormatOne(t *testing.T) {
	path := t.TempDir()
	table := crc32.MakeTable(crc32.Castagnoli)
	slot := binary.LittleEndian.AppendUint64([]byte("SFSLOT01"), 1)
	slot = binary.LittleEndian.AppendUint32(slot, uint32(len("first")))
	slot = binary.LittleEndian.AppendUint32(slot, crc32.Update(crc32.Checksum(slot, table), table, []byte("first")))
	log := appendRecordV1(binary.LittleEndian.AppendUint64([]byte("SFLOG001"), 1), []byte("one"))
	must(t, writeFile(path, "slot-1", append(slot, "first"...)))
	must(t, writeFile(path, "log-1", log))
	s, contents, err := Open(path)
	must(t, err)
	if string(contents.State) != "first" || len(contents.Records) != 1 {
		t.Fatalf("%+v", contents)
	}
	must(t, s.Append([]byte("two")))
	must(t, s.Close())
	s, contents, err = Open(path)
	must(t, err)
	if len(contents.Records) != 2 || string(contents.Records[1]) != "two" {
		t.Fatalf("%+v", contents)
	}
	must(t, s.Replace([]byte("second")))
	must(t, s.Append([]byte("three")))
	must(t, s.Close())
	raw, err := os.ReadFile(filepath.Join(path, "slot-0"))
	must(t, err)
	if string(raw[:len(slotMagic)]) != slotMagic {
		t.Errorf("written as %q", raw[:len(slotMagic)])
	}
	_, contents, err = Open(path)
	must(t, err)
	if string(contents.State) != "second" || len(contents.Records) != 1 {
		t.Errorf("%+v", contents)
	}
}

// TestDamagedKey guards against taking a damaged key for an interrupted write: without the
// key, no record can be verified.
func TestDamagedKey(t *testing.T) {
	for at := len(logMagic); at < logHeaderSize; at++ {
		path := newStore(t)
		rewriteFile(t, path, "log-1", func(raw []byte) []byte { raw[at] ^= 1; return raw })
		if _, _, err := Open(path); !errors.Is(err, ErrDamaged) {
			t.Errorf("byte %d of the header: %v", at, err)
		}
	}
}

func writeFile(path, name string, raw []byte) error {
	return os.WriteFile(filepath.Join(path, name), raw, 0o600)
}
