package days

// ledger holds the times at which machines are lost, so that a day never takes
// more of a group at once than it was asked to.
type lossSchedule struct {
	maxMachines int
	catchUpS    float64
	losses      []loss
}

// loss is a span in which machines of a group are lost.
type loss struct {
	group      Group
	fromS, toS float64
	machines   int
}

// lossOf is the span in which an entry keeps machines away. An entry that waits
// for an acknowledgement strikes somewhat after its time, so its span is longer.
func (l *lossSchedule) lossOf(entry Entry) loss {
	group := entry.Group
	if group != Store {
		group = Core
	}
	if entry.Kind.Name == "retire" {
		group = Store
	}
	return loss{group: group, fromS: entry.AtS, toS: entry.AtS + entry.lossDurationS() + l.catchUpS, machines: entry.machinesLost()}
}

// place moves an entry to the first moment, from its time on, at which its loss
// fits beside the others, and notes it. One that would take too many machines
// takes as many as it may.
func (l *lossSchedule) place(entry Entry) Entry {
	if entry.machinesLost() == 0 {
		return entry
	}
	if entry.machinesLost() > l.maxMachines {
		entry.set(fieldCount, float64(l.maxMachines))
	}
	for {
		wanted := l.lossOf(entry)
		until, fits := l.fits(wanted)
		if fits {
			l.losses = append(l.losses, wanted)
			return entry
		}
		entry.AtS = rounded(until + lossGapS)
	}
}

// pastLossS is the pause between two losses: as soon as the first has passed.
const lossGapS = 0.05

// room tells whether a loss fits, and if not, when the next loss in its way ends.
func (l *lossSchedule) fits(wanted loss) (until float64, fits bool) {
	taken := wanted.machines
	for _, other := range l.losses {
		if other.group != wanted.group || other.toS <= wanted.fromS || other.fromS >= wanted.toS {
			continue
		}
		taken += other.machines
		if until == 0 || other.toS < until {
			until = other.toS
		}
	}
	return until, taken <= l.maxMachines
}
