package relaysim

import (
	"sort"
	"time"
)

func (b *books) tables() (list []Breach) {
	onBase := map[uint64]*Table{}
	var newest *Table
	for _, t := range b.Tables {
		if !t.IsAcked {
			continue
		}
		if !t.Valid {
			list = append(list, breach(RuleRace, "table %d (%s) is invalid and was acknowledged at %v", t.Number, t.Mark, t.Acked))
		}
		if other := onBase[t.Base]; other != nil {
			list = append(list, breach(RuleRace, "tables %d (%s) and %d (%s) were both acknowledged on base %d", other.Number, other.Mark, t.Number, t.Mark, t.Base))
		}
		onBase[t.Base] = t
		if newest == nil || newest.Number < t.Number {
			newest = t
		}
	}
	for _, read := range b.Reads {
		if newest != nil && read.Number < newest.Number {
			list = append(list, breach(RuleLost, "table %d was read back at %v, and %d had been acknowledged", read.Number, read.At, newest.Number))
			continue
		}
		sent, refused := false, false
		for _, t := range b.Tables {
			if t.Number == read.Number && string(t.Text) == string(read.Text) {
				sent, refused = true, t.Refused || !t.Valid
			}
		}
		if !sent || refused {
			list = append(list, breach(RuleLost, "table %d was read back at %v: not what was sent under its number, or refused", read.Number, read.At))
		}
	}
	if newest != nil && len(b.Reads) == 0 && b.End > 0 {
		list = append(list, breach(RuleLost, "no table could be read back at the end"))
	}
	return list
}

// handled is one sign of which tables a node may have had in force.
type handled struct {
	request *Request
	at      time.Duration
	sent    time.Duration
	node    string
	life    int
	fits    func(t *Table) bool
	what    string
}

// signs lists what tells which tables were in force where.
func (b *books) signs() (list []handled) {
	for i := range b.Arrivals {
		a := &b.Arrivals[i]
		q := b.requests[a.Attempt]
		if q == nil || a.Moved {
			continue
		}
		list = append(list, handled{request: q, at: a.At, sent: q.At, node: a.Node, life: a.Life, what: "sent to " + a.Service + " as " + a.Tenant, fits: func(t *Table) bool {
			r, ok := t.route(q.Path)
			if !ok {
				return false
			}
			holder := t.Holders[q.Key]
			if holder != a.Tenant || holder == "" && !r.Open {
				return false
			}
			for _, s := range r.Services {
				if s == a.Service {
					return true
				}
			}
			return false
		}})
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
				return ok && !r.Open && t.Holders[q.Key] == ""
			}
		case q.Status == 429 || q.Status == 402:
			fits = func(t *Table) bool {
				r, ok := t.route(q.Path)
				return ok && (r.Open || t.Holders[q.Key] != "")
			}
		default:
			continue
		}
		list = append(list, handled{request: q, at: q.Ended, sent: q.At, node: q.Node, life: q.Life, what: "answered " + statusText(q.Status), fits: fits})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// handling judges by which tables requests were handled.
func (b *books) handling() (list []Breach) {
	type proof struct {
		at     time.Duration
		number uint64
	}
	proofs := map[string][]proof{}
	told := map[string]bool{}
	add := func(rule, life, format string, args ...any) {
		if !told[rule+life] {
			told[rule+life] = true
			list = append(list, breach(rule, format, args...))
		}
	}
	for _, s := range b.signs() {
		life := s.node + "/" + statusText(s.life)
		var lowest, highest uint64
		fits, any := 0, false
		for _, t := range b.byNumber {
			if t.Sent > s.at {
				continue
			}
			any = true
			if t.Refused || !t.Valid || !s.fits(t) {
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
		q := s.request
		if fits == 0 {
			add(RuleAllowed, life, "%s %s was %s at %v by %s, which no table that was handed over and not refused allows", q.Kind, q.Attempt, s.what, s.at, s.node)
			continue
		}
		for _, t := range b.byNumber {
			if !t.IsAcked || t.Number <= highest {
				continue
			}
			late := s.sent > t.Acked+b.Limits.Apply && b.calm(s.node, min(t.Acked, s.sent-b.Limits.Contact), s.at)
			late = late || s.sent > t.Acked+b.Limits.Apply+b.Limits.Outer && b.outer(s.node, t.Acked, s.at)
			if late {
				add(RuleFollow, life, "%s %s, sent at %v to %s, was %s, as only tables up to %d allow; %d had been acknowledged at %v", q.Kind, q.Attempt, s.sent, s.node, s.what, highest, t.Number, t.Acked)
				break
			}
		}
		for _, p := range proofs[life] {
			if p.number > highest && s.sent > p.at+b.Limits.Revert {
				add(RuleBack, life, "%s %s, sent at %v, was %s by %s, as only tables up to %d allow; the same life had shown %d at %v", q.Kind, q.Attempt, s.sent, s.what, s.node, highest, p.number, p.at)
				break
			}
		}
		if list := proofs[life]; len(list) == 0 || list[len(list)-1].number < lowest {
			proofs[life] = append(list, proof{at: s.at, number: lowest})
		}
	}
	return list
}
