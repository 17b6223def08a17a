package registry

import (
	"time"

	"saffronfall/rule/ordered"
)

// notifyPulls is the least time between two notifications of all subscribers, in pull intervals.
// Changes that come faster are sent together: while a fleet starts, they come by the hundred.
const notifyPulls = 0.2

// notifier paces the notifications of all subscribers.
type notifier struct {
	// lastSent is negative before the first notification.
	lastSent time.Duration
	// pending is set if a change was not sent yet.
	pending bool
}

func (m *Machine) notifyInterval() time.Duration {
	return time.Duration(notifyPulls * float64(m.params.Core.PullInterval))
}

// notifyPaced sends changes to all subscribers at once, or with later ones if the last notification
// was a moment ago.
func (m *Machine) notifyPaced(now time.Duration) {
	if m.notifier.lastSent >= 0 && now < m.notifier.lastSent+m.notifyInterval() {
		m.notifier.pending = true
		return
	}
	m.notifyAll(now)
}

func (m *Machine) notifyDue(now time.Duration) {
	if m.notifier.pending {
		m.notifyPaced(now)
	}
}

func (m *Machine) notifyAll(now time.Duration) {
	m.notifier = notifier{lastSent: now}
	for _, address := range ordered.Keys(m.subscribers) {
		if s := m.subscribers[address]; m.isSubscribed(now, s) {
			m.sendUpdate(now, address, s, false)
		}
	}
}
