package relaysim

import (
	"sort"
	"time"
)

func (b *recordIndex) checkTables() (list []Breach) {
	onBase := map[uint64]*Table{}
	var newest *Table
	for _, t := range b.Tables {
		if !t.Acked {
			continue
		}
		if !t.Valid {
			list = append(list, breach(RuleTableRace, "table %d (%s) is invalid and was acknowledged at %v", t.Number, t.ID, t.AckedAt))
		}
		if other := onBase[t.Base]; other != nil {
			list = append(list, breach(RuleTableRace,
				"tables %d (%s) and %d (%s) were both acknowledged on base %d",
				other.Number, other.ID, t.Number, t.ID, t.Base))
		}
		onBase[t.Base] = t
		if newest == nil || newest.Number < t.Number {
			newest = t
		}
	}
	for _, read := range b.FinalReads {
		if newest != nil && read.Number < newest.Number {
			list = append(list, breach(RuleDurable,
				"table %d was read back at %v, and %d had been acknowledged",
				read.Number, read.At, newest.Number))
			continue
		}
		sent, refused := false, false
		for _, t := range b.Tables {
			if t.Number == read.Number && string(t.Text) == string(read.Text) {
				sent, refused = true, t.Refused || !t.Valid
			}
		}
		if !sent || refused {
			list = append(list, breach(RuleDurable,
				"table %d was read back at %v: not what was sent under its number, or refused",
				read.Number, read.At))
		}
	}
	if newest != nil && len(b.FinalReads) == 0 && b.End > 0 {
		list = append(list, breach(RuleDurable, "no table could be read back at the end"))
	}
	return list
}

// evidence is an observation of which tables a node may have had in force.
type evidence struct {
	request     *Request
	at          time.Duration
	sent        time.Duration
	node        string
	incarnation int
	fits        func(t *Table) bool
	what        string
}

func (b *recordIndex) collectEvidence() (list []evidence) {
	for i := range b.Arrivals {
		a := &b.Arrivals[i]
		q := b.requests[a.Attempt]
		if q == nil || a.Misdirected {
			continue
		}
		list = append(list, evidence{
			request: q, at: a.At, sent: q.At, node: a.Node, incarnation: a.Incarnation,
			what: "sent to " + a.Service + " as " + a.Tenant,
			fits: func(t *Table) bool {
				r, ok := t.route(q.Path)
				if !ok {
					return false
				}
				holder := t.KeyTenants[q.Key]
				if holder != a.Tenant || holder == "" && !r.Public {
					return false
				}
				for _, s := range r.Services {
					if s == a.Service {
						return true
					}
				}
				return false
			},
		})
	}
	for _, q := range b.Requests {
		if q.Outcome != Refused {
			continue
		}
		var fits func(t *Table) bool
		switch {
		case q.Status == 404 && q.Previous == "":
			fits = func(t *Table) bool { _, ok := t.route(q.Path); return !ok }
		case q.Status == 401:
			fits = func(t *Table) bool {
				r, ok := t.route(q.Path)
				return ok && !r.Public && t.KeyTenants[q.Key] == ""
			}
		case q.Status == 429 || q.Status == 402:
			fits = func(t *Table) bool {
				r, ok := t.route(q.Path)
				return ok && (r.Public || t.KeyTenants[q.Key] != "")
			}
		default:
			continue
		}
		list = append(list, evidence{
			request: q, at: q.Ended, sent: q.At, node: q.Node, incarnation: q.Incarnation,
			what: "answered " + itoa(q.Status), fits: fits,
		})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// checkHandling checks that each request was handled by a valid and recent enough table, not older
// than one that the same incarnation had used.
func (b *recordIndex) checkHandling() (list []Breach) {
	type proof struct {
		at     time.Duration
		number uint64
	}
	proofs := map[string][]proof{}
	reported := map[string]bool{}
	add := func(rule, incarnation, format string, args ...any) {
		if !reported[rule+incarnation] {
			reported[rule+incarnation] = true
			list = append(list, breach(rule, format, args...))
		}
	}
	for _, e := range b.collectEvidence() {
		incarnation := e.node + "/" + itoa(e.incarnation)
		var lowest, highest uint64
		fits, any := 0, false
		for _, t := range b.tablesByNumber {
			if t.SentAt > e.at {
				continue
			}
			any = true
			if t.Refused || !t.Valid || !e.fits(t) {
				continue
			}
			if fits == 0 {
				lowest = t.Number
			}
			highest = t.Number
			fits++
		}
		if !any {
			continue
		}
		q := e.request
		if fits == 0 {
			add(RuleTableAllows, incarnation, "%s %s was %s at %v by %s, which no table that was handed over and not refused allows", q.Kind, q.Attempt, e.what, e.at, e.node)
			continue
		}
		for _, t := range b.tablesByNumber {
			if !t.Acked || t.Number <= highest {
				continue
			}
			late := e.sent > t.AckedAt+b.Limits.Apply && b.contactUndisturbed(e.node, min(t.AckedAt, e.sent-b.Limits.Contact), e.at)
			late = late || e.sent > t.AckedAt+b.Limits.Apply+b.Limits.ApplyWithoutStores && b.nodeUndisturbed(e.node, t.AckedAt, e.at)
			if late {
				add(RuleTableLag, incarnation, "%s %s, sent at %v to %s, was %s, as only tables up to %d allow; %d had been acknowledged at %v", q.Kind, q.Attempt, e.sent, e.node, e.what, highest, t.Number, t.AckedAt)
				break
			}
		}
		for _, p := range proofs[incarnation] {
			if p.number > highest && e.sent > p.at+b.Limits.Revert {
				add(RuleNoRollback, incarnation, "%s %s, sent at %v, was %s by %s, as only tables up to %d allow; the same life had shown %d at %v", q.Kind, q.Attempt, e.sent, e.what, e.node, highest, p.number, p.at)
				break
			}
		}
		if list := proofs[incarnation]; len(list) == 0 || list[len(list)-1].number < lowest {
			proofs[incarnation] = append(list, proof{at: e.at, number: lowest})
		}
	}
	return list
}
