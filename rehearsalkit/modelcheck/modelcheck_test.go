package modelcheck

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"saffronfall/rule/partition"
)

// testDepths limits each scenario's exploration in a test run.
var testDepths = map[string]int{
	"orders": 6, "again": 6, "replace": 7, "leave": 6, "catchup": 6, "read": 7, "cut": 7, "renewal": 7,
	"orders5": 4, "again5": 4, "replace5": 5, "leave5": 4, "catchup5": 4, "read5": 5, "cut5": 5, "renewal5": 5, "restart5": 5,
	"promise5": 4, "power5": 4, "unsynced5": 8, "leftover5": 4, "refusal5": 4,
	"restart": 7, "promise": 7, "power": 6, "candidate": 7, "unsynced": 11, "leftover": 5, "refusal": 5,
}

func TestScenariosHaveNoViolations(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			depth, ok := testDepths[s.Name]
			if !ok {
				t.Fatal("testDepths has no entry for this scenario")
			}
			report := Explore(s, Limits{Depth: depth, Workers: 4})
			t.Log(report)
			if report.Found != nil {
				t.Error(report.Found)
			}
			if report.Distinct < 100 || report.Depth < depth {
				t.Errorf("only %d states to depth %d were explored", report.Distinct, report.Depth)
			}
		})
	}
}

// Traces that once violated a property must not violate one again.
func TestKeptTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatal("no stored traces in testdata:", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			trace, err := LoadTrace(path)
			if err != nil {
				t.Fatal(err)
			}
			if violated, _ := trace.Replay(nil); violated != nil {
				t.Error(violated)
			}
		})
	}
}

// The process may have been frozen between a read's arrival and its answer.
func TestReadIsCheckedAgainstItsArrival(t *testing.T) {
	actions := []Action{
		{Kind: BeginRead, Member: "c"}, {Kind: Advance}, {Kind: Advance}, {Kind: Tick, Member: "a"},
		{Kind: Exchange, Message: "Stand", From: "a", Member: "b"}, {Kind: Exchange, Message: "Stand", From: "a", Member: "b"},
		{Kind: Exchange, Message: "Write", From: "a", Member: "b"}, {Kind: Propose, Member: "a", Count: 1},
		{Kind: Exchange, Message: "Write", From: "a", Member: "b"}, {Kind: AnswerRead, Member: "c"},
	}
	for _, late := range []bool{false, true} {
		s, _ := Find("read")
		s.LateReads = late
		w := s.Start()
		for _, a := range actions {
			next, err := w.Apply(a)
			if err != nil {
				t.Fatal(err)
			}
			w = next
		}
		switch {
		case !late && w.violated != nil:
			t.Error(w.violated)
		case late && (w.violated == nil || w.violated.Property != FreshRead):
			t.Errorf("read checked as if it arrived at its answer: violation %v, want FreshRead", w.violated)
		}
	}
}

func TestCloneSharesNoState(t *testing.T) {
	s, _ := Find("replace")
	w := s.Start()
	for range 40 {
		for _, p := range w.processes {
			if p.machine == nil {
				continue
			}
			fresh := cloneMachine(p.machine)
			if digestOf(nil, fresh) != digestOf(nil, p.machine) {
				t.Fatal("clone and original have different digests")
			}
			requireDistinct(t, reflect.ValueOf(p.machine).Elem(), reflect.ValueOf(fresh).Elem(), "machine")
		}
		list := w.Actions()
		next, err := w.Apply(list[len(list)/2])
		if err != nil {
			next, err = w.Apply(list[0])
		}
		if err != nil {
			return
		}
		w = next
	}
}

// requireDistinct reports maps, slices and pointers that two values share.
func requireDistinct(t *testing.T, a, b reflect.Value, path string) {
	t.Helper()
	switch a.Kind() {
	case reflect.Map, reflect.Pointer:
		if !a.IsNil() && a.Pointer() == b.Pointer() {
			t.Errorf("%s is shared", path)
		}
	case reflect.Slice:
		if a.Len() > 0 && a.Type().Elem().Kind() != reflect.Uint8 && a.Pointer() == b.Pointer() {
			t.Errorf("%s is shared", path)
		}
	case reflect.Struct:
		for i := range a.NumField() {
			requireDistinct(t, a.Field(i), b.Field(i), path+"."+a.Type().Field(i).Name)
		}
		return
	}
	if a.Kind() == reflect.Pointer && !a.IsNil() && !excludedTypes[a.Type()] {
		requireDistinct(t, a.Elem(), b.Elem(), path)
	}
}

func TestApplyLeavesInitialStateUnchanged(t *testing.T) {
	for _, s := range Scenarios() {
		w := s.Start()
		for range 6 {
			before := freshFingerprint(w)
			var next *World
			for _, a := range w.Actions() {
				if one, err := w.Apply(a); err == nil {
					next = one
				}
				if freshFingerprint(w) != before {
					t.Fatalf("%s: %v changed the state it was applied to", s.Name, a)
				}
			}
			if next == nil {
				break
			}
			w = next
		}
	}
}

// freshFingerprint computes a fingerprint without cached digests.
func freshFingerprint(w *World) digest {
	for _, p := range w.processes {
		p.digests = nil
	}
	return w.fingerprint()
}

func TestInterchangeableMembersShareAFingerprint(t *testing.T) {
	s, _ := Find("orders")
	s.Interchangeable, s.setup = []string{"b", "c"}, func(*World) {}
	w := s.Start()
	var prints []digest
	for _, member := range []string{"b", "c"} {
		next, err := w.Apply(Action{Kind: Crash, Member: member})
		if err != nil {
			t.Fatal(err)
		}
		prints = append(prints, next.fingerprint())
	}
	leader, err := w.Apply(Action{Kind: Crash, Member: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if prints[0] != prints[1] || prints[0] == leader.fingerprint() {
		t.Error("fingerprints do not treat b and c as interchangeable, or treat a so")
	}
}

func TestQuorumsIntersect(t *testing.T) {
	threeMembers := partition.Group{Members: []string{"a", "b", "c"}}
	joint := partition.Group{Members: []string{"a", "b", "d"}, Former: threeMembers.Members}
	final := partition.Group{Members: joint.Members}
	if !quorumsIntersect(threeMembers, joint) || !quorumsIntersect(joint, final) || quorumsIntersect(threeMembers, final) {
		t.Error("quorumsIntersect gives a wrong result")
	}
}

func TestHistoryDetectsViolations(t *testing.T) {
	empty := &history{values: map[uint64]string{}, refused: map[string]bool{}}
	one, violated := empty.recordValue(1, "x", "")
	if violated != nil || one.latest != 1 || empty.latest != 0 {
		t.Fatal("first value is not recorded:", violated)
	}
	if _, violated := one.recordValue(1, "y", ""); violated == nil || violated.Property != OneValue {
		t.Error("second value under one number:", violated)
	}
	if _, violated := one.recordRefusal(Order{Number: 1, Value: "x"}); violated == nil || violated.Property != RefusedAbsent {
		t.Error("accepted order refused:", violated)
	}
	refused, _ := one.recordRefusal(Order{Number: 2, Value: "y"})
	if _, violated := refused.recordValue(2, "y", ""); violated == nil || violated.Property != RefusedAbsent {
		t.Error("refused order accepted:", violated)
	}
}

func TestTraceSaveAndLoad(t *testing.T) {
	trace := &Trace{Scenario: "orders", Violation: Violation{Property: FreshRead, Detail: "d"}, Actions: []Action{{Kind: Advance}, {Kind: Tick, Member: "a"}}}
	path := filepath.Join(t.TempDir(), "trace.json")
	if err := trace.Save(path); err != nil {
		t.Fatal(err)
	}
	back, err := LoadTrace(path)
	if err != nil || !reflect.DeepEqual(back, trace) {
		t.Errorf("%+v, %v", back, err)
	}
	if violated, err := back.Replay(nil); violated != nil || err != nil {
		t.Error(violated, err)
	}
}

func TestLimitsAreReported(t *testing.T) {
	for want, limits := range map[string]Limits{
		"depth": {Depth: 2}, "states": {Depth: 20, States: 500}, "timeout": {Depth: 40, Timeout: 50 * time.Millisecond},
	} {
		s, _ := Find("orders")
		if r := Explore(s, limits); r.StoppedBy != want || r.Frontier == 0 {
			t.Errorf("want limit %s: stopped by %q with %d states in the frontier", want, r.StoppedBy, r.Frontier)
		}
	}
}

// LateReads provides the violation.
func TestWalksFindAndShorten(t *testing.T) {
	s, _ := Find("read")
	if r := Walk(s, Walks{Count: 20, First: 1, Length: 30, Workers: 4}); r.Found != nil || r.Steps < 100 {
		t.Errorf("%d steps: %v", r.Steps, r.Found)
	}
	s, _ = Find("read")
	s.LateReads = true
	r := Walk(s, Walks{Count: 20000, First: 1, Length: 30, Workers: 4})
	if r.Found == nil || r.Found.Violation.Property != FreshRead || len(r.Found.Actions) > 15 {
		t.Errorf("%d walks: %v", r.Walks, r.Found)
	}
	t.Logf("%d walks, %v: %v", r.Walks, r.Elapsed, r.Found)
}

// A second leader must be reachable in a few steps.
func TestSuccessorIsReachable(t *testing.T) {
	for _, name := range []string{"orders", "again", "catchup", "read"} {
		s, _ := Find(name)
		w := s.Start()
		for _, a := range []Action{
			{Kind: Advance}, {Kind: Advance}, {Kind: Tick, Member: "a"},
			{Kind: Exchange, Message: "Stand", From: "a", Member: "b"}, {Kind: Exchange, Message: "Stand", From: "a", Member: "b"},
		} {
			next, err := w.Apply(a)
			if err != nil {
				t.Fatal(name, err)
			}
			w = next
		}
		for _, kind := range []string{"Stand", "Write"} {
			// Entries on which the replicas differ are requested once more.
			if next, err := w.Apply(Action{Kind: Exchange, Message: kind, From: "a", Member: "b"}); err == nil {
				w = next
			}
		}
		if !w.processes[w.indexOf("a")].leads(w.now) {
			t.Errorf("%s: %v", name, w)
		}
	}
}
