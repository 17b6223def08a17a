package faultdisk

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/disk"
)

func openStore(t *testing.T, seed uint64, path string) (*Disk, *disk.Store, disk.Contents) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := New(ctx, seed)
	f, contents, err := disk.OpenIn(d, path)
	if err != nil {
		t.Fatal(err)
	}
	return d, f, contents
}

func TestSyncedDataSurvivesPowerLoss(t *testing.T) {
	tornTails := 0
	for seed := uint64(0); seed < 150; seed++ {
		path := t.TempDir()
		state, acknowledged := "", 0
		for run := 0; run < 4; run++ {
			d, f, contents := openStore(t, seed*10+uint64(run), path)
			if contents.Empty != (run == 0) {
				t.Fatalf("seed %d: empty %v in run %d", seed, contents.Empty, run)
			}
			if run > 0 && string(contents.State) != state {
				t.Fatalf("seed %d: the state is %q, want %q", seed, contents.State, state)
			}
			if len(contents.Records) < acknowledged {
				t.Fatalf("seed %d: %d of %d acknowledged frames", seed, len(contents.Records), acknowledged)
			}
			if contents.TruncatedBytes > 0 {
				tornTails++
			}
			state, acknowledged = fmt.Sprintf("state %d of seed %d", run, seed), 0
			if err := f.Replace([]byte(state)); err != nil {
				t.Fatal(err)
			}
			for acknowledged < int(seed%5) {
				if err := f.Append(make([]byte, 100+700*acknowledged)); err != nil {
					t.Fatal(err)
				}
				acknowledged++
			}
			// Leave one more frame unsynced.
			handle, err := d.OpenFile(filepath.Join(path, fmt.Sprintf("log-%d", (run+1)%2)), os.O_RDWR|os.O_APPEND, 0o600)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := handle.Write([]byte(fmt.Sprintf("%2000d", run))); err != nil {
				t.Fatal(err)
			}
			if err := d.LosePower(func() {}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if tornTails == 0 {
		t.Error("no loss of power left a torn write")
	}
}

func TestPowerLossMayDropUnsyncedWrites(t *testing.T) {
	sizes := map[int]int{}
	for seed := uint64(0); seed < 100; seed++ {
		ctx, cancel := context.WithCancel(context.Background())
		d, name := New(ctx, seed), filepath.Join(t.TempDir(), "file")
		h, err := d.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		h.Write([]byte("synced"))
		h.Sync()
		h.Write([]byte(" and not"))
		if err := d.LosePower(func() {}); err != nil {
			t.Fatal(err)
		}
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		sizes[len(content)]++
		cancel()
	}
	if sizes[len("synced")] == 0 || sizes[len("synced and not")] == 0 || len(sizes) != 2 {
		t.Errorf("sizes after losses of power: %v", sizes)
	}
}

// A failed write must keep earlier data.
func TestFullDisk(t *testing.T) {
	path := t.TempDir()
	d, f, _ := openStore(t, 1, path)
	if err := f.Replace([]byte("state")); err != nil {
		t.Fatal(err)
	}
	d.SetFaults(Faults{Full: true})
	if err := f.Append(make([]byte, 1000)); !errors.Is(err, disk.ErrFull) {
		t.Fatalf("append on a full disk: %v", err)
	}
	d.SetFaults(Faults{})
	if err := f.Append([]byte("frame")); err != nil {
		t.Fatal(err)
	}
	f.Close()
	_, _, contents := openStore(t, 2, path)
	if len(contents.Records) != 1 || string(contents.State) != "state" {
		t.Errorf("%d frames, state %q", len(contents.Records), contents.State)
	}
}
