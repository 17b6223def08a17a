package rate

import (
	"reflect"
	"testing"
	"time"
)

func TestSnapshotShowsHoldersAndSpent(t *testing.T) {
	limit := Limit{Window: 10 * time.Second, Max: 100}
	l := &Ledger{}
	draw := func(now time.Duration, holder string, granted, spent, want int64) {
		l.Draw(now, DrawRequest{Holder: holder, Granted: granted, Spent: spent, Want: want, Version: 3, Limit: limit, LeaseDuration: 5 * time.Second})
	}
	draw(0, "b", 0, 0, 7)
	draw(time.Second, "a", 0, 0, 4)
	draw(2*time.Second, "a", 4, 3, 1)
	got := l.Snapshot(4 * time.Second)
	want := Snapshot{Limit: limit, Version: 3, Spent: 3, Shares: []Share{
		{Holder: "a", Outstanding: 1, Remaining: 3 * time.Second},
		{Holder: "b", Outstanding: 7, Remaining: time.Second},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if late := l.Snapshot(6 * time.Second); late.Spent != 10 || len(late.Shares) != 1 {
		t.Fatalf("after the end of b's lease: %+v", late)
	}
	if gone := l.Snapshot(time.Minute); gone.Spent != 0 || len(gone.Shares) != 0 {
		t.Fatalf("after all windows: %+v", gone)
	}
}

func TestSnapshotShowsWhatARestoredLedgerCanNotConfirm(t *testing.T) {
	limit := Limit{Window: 10 * time.Second, Max: 100}
	l := Restore(time.Second, DurableState{Limit: limit, Outstanding: 30}, 5*time.Second)
	if s := l.Snapshot(2 * time.Second); s.Unconfirmed != 30 || s.UnconfirmedRemaining != 4*time.Second {
		t.Fatalf("after the restore: %+v", s)
	}
	if s := l.Snapshot(7 * time.Second); s.Unconfirmed != 30 || s.UnconfirmedRemaining != 0 {
		t.Fatalf("after the leases: %+v", s)
	}
	if s := l.Snapshot(16 * time.Second); s.Unconfirmed != 0 {
		t.Fatalf("after one more window: %+v", s)
	}
}
