package core

import "time"

// gone is after how long a core that was not heard from counts as silent.
func (m *Machine) gone() time.Duration {
	if m.params.Gone > 0 {
		return m.params.Gone
	}
	return 3 * m.params.MemberTerm
}

// beat is how often cores say that they live.
func (m *Machine) beat() time.Duration { return min(m.params.MemberTerm/4, m.gone()/8) }

func (m *Machine) hear(now time.Duration, seat string) {
	h, ok := m.heard[seat]
	if !ok || now-h.last >= m.gone() {
		h.since = now
	}
	h.last = now
	m.heard[seat] = h
}

func (m *Machine) place(now time.Duration) {}
