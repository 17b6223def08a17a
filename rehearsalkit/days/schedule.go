package days

// lossSchedule keeps the simultaneous losses of a group within maxMachines.
type lossSchedule struct {
	maxMachines int
	catchUpS    float64
	losses      []loss
}

// loss is an interval in which machines of a group are lost.
type loss struct {
	group      Group
	fromS, toS float64
	machines   int
}

// lossOf includes the time to catch up.
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

// place delays an entry until its loss fits, and records it. It reduces the entry's machines to
// maxMachines.
func (l *lossSchedule) place(entry Entry) Entry {
	if entry.machinesLost() == 0 {
		return entry
	}
	if entry.machinesLost() > l.maxMachines {
		entry.set(fieldCount, float64(l.maxMachines))
	}
	for {
		candidate := l.lossOf(entry)
		until, fits := l.fits(candidate)
		if fits {
			l.losses = append(l.losses, candidate)
			return entry
		}
		entry.AtS = rounded(until + lossGapS)
	}
}

// lossGapS is the time in seconds between two successive losses.
const lossGapS = 0.05

// If a loss does not fit, until is the end of the first conflicting one.
func (l *lossSchedule) fits(candidate loss) (until float64, fits bool) {
	taken := candidate.machines
	for _, other := range l.losses {
		if other.group != candidate.group || other.toS <= candidate.fromS || other.fromS >= candidate.toS {
			continue
		}
		taken += other.machines
		if until == 0 || other.toS < until {
			until = other.toS
		}
	}
	return until, taken <= l.maxMachines
}
