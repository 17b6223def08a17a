package disk

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// encodedSlot returns the file of a slot.
func encodedSlot(key checksumKey, generation uint64, state string) []byte {
	header := slotHeader(key, generation, uint64(len(state)))
	checksum := key.checksum(header, []byte(state))
	return append(binary.LittleEndian.AppendUint64(header, checksum), state...)
}

// FuzzOpen opens arbitrary file contents. A rejected slot must be left unchanged.
func FuzzOpen(f *testing.F) {
	f.Add([]byte(slotMagic+"\x01\x00\x00\x00\x00\x00\x00\x00"), []byte(logMagic+"\x01\x00\x00\x00\x00\x00\x00\x00"))
	f.Add([]byte(slotMagicV1+"\x01\x00\x00\x00\x00\x00\x00\x00"), []byte(logMagicV1+"\x01\x00\x00\x00\x00\x00\x00\x00"))
	f.Add(encodedSlot(checksumKey{1, 2}, 1, "state"), logHeader(checksumKey{3, 4}, 1))
	f.Add([]byte("SFSLOT99 of a newer version"), []byte{})
	f.Add([]byte{}, []byte("#!/bin/sh\necho somebody else's"))
	f.Fuzz(func(t *testing.T, slot, log []byte) {
		path := t.TempDir()
		os.WriteFile(filepath.Join(path, "slot-1"), slot, 0o600)
		os.WriteFile(filepath.Join(path, "log-1"), log, 0o600)
		store, _, err := Open(path)
		if err == nil {
			store.Close()
			return
		}
		if raw, _ := os.ReadFile(filepath.Join(path, "slot-1")); string(raw) != string(slot) {
			t.Errorf("the slot was changed: %v", err)
		}
	})
}

// TestForeign guards against changing files of another program or a newer version.
func TestForeign(t *testing.T) {
	for _, c := range []struct{ name, file, text string }{
		{"newer slot", "slot-0", "SFSLOT03 and what follows"}, {"newer log", "log-1", "SFLOG003 and what follows"},
		{"another program's slot", "slot-1", "PNG or whatever it may be"}, {"another program's log", "log-0", "2026-01-01 started all of it"},
	} {
		path := t.TempDir()
		must(t, os.WriteFile(filepath.Join(path, c.file), []byte(c.text), 0o600))
		if _, _, err := Open(path); !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%s: %v", c.name, err)
		}
		if raw, _ := os.ReadFile(filepath.Join(path, c.file)); string(raw) != c.text {
			t.Errorf("%s was changed", c.name)
		}
		if list, _ := os.ReadDir(path); len(list) != 1 {
			t.Errorf("%s: the directory has %d files", c.name, len(list))
		}
	}
}
