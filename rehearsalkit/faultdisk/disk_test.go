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

// folder opens the product's folder on a disk of its own.
func openStore(t *testing.T, seed uint64, path string) (*Disk, *disk.Store, disk.Contents) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := New(ctx, seed)
	f, held, err := disk.OpenIn(d, path)
	if err != nil {
		t.Fatal(err)
	}
	return d, f, held
}

// TestWhatIsSyncedOutlivesPower: whatever a loss of power takes, the product's folder
// holds all that it acknowledged, and at most what was written besides.
func TestSyncedDataSurvivesPowerLoss(t *testing.T) {
	tornTails := 0
	for seed := uint64(0); seed < 150; seed++ {
		path := t.TempDir()
		state, acknowledged := "", 0
		for life := 0; life < 4; life++ {
			d, f, held := openStore(t, seed*10+uint64(life), path)
			if held.Empty != (life == 0) {
				t.Fatalf("seed %d: empty %v in life %d", seed, held.Empty, life)
			}
			if life > 0 && string(held.State) != state {
				t.Fatalf("seed %d: the state is %q, want %q", seed, held.State, state)
			}
			if len(held.Records) < acknowledged {
				t.Fatalf("seed %d: %d frames of %d that were acknowledged", seed, len(held.Records), acknowledged)
			}
			if held.TruncatedBytes > 0 {
				tornTails++
			}
			state, acknowledged = fmt.Sprintf("state %d of seed %d", life, seed), 0
			if err := f.Replace([]byte(state)); err != nil {
				t.Fatal(err)
			}
			for acknowledged < int(seed%5) {
				if err := f.Append(make([]byte, 100+700*acknowledged)); err != nil {
					t.Fatal(err)
				}
				acknowledged++
			}
			// One more frame is written and not synced.
			handle, err := d.OpenFile(filepath.Join(path, fmt.Sprintf("log-%d", (life+1)%2)), os.O_RDWR|os.O_APPEND, 0o600)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := handle.Write([]byte(fmt.Sprintf("%2000d", life))); err != nil {
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

// TestPowerTakesWhatIsNotSynced: an unsynced write is lost in some losses of power, and
// kept in others.
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

// TestFullDisk: a full disk says so, and what was there stays.
func TestFullDisk(t *testing.T) {
	path := t.TempDir()
	d, f, _ := openStore(t, 1, path)
	if err := f.Replace([]byte("state")); err != nil {
		t.Fatal(err)
	}
	d.SetFaults(Faults{Full: true})
	if err := f.Append(make([]byte, 1000)); !errors.Is(err, disk.ErrFull) {
		t.Fatalf("a full disk: %v", err)
	}
	d.SetFaults(Faults{})
	if err := f.Append([]byte("frame")); err != nil {
		t.Fatal(err)
	}
	f.Close()
	_, _, held := openStore(t, 2, path)
	if len(held.Records) != 1 || string(held.State) != "state" {
		t.Errorf("%d frames, state %q", len(held.Records), held.State)
	}
}
