// Package days writes days for the users' bench from a seed: what strikes a
// deployment, when and how hard. Its days are denser than the bench's own
// mixes and aim at chosen weak points. The bench plays and judges them.
package days

// Group is the class of machines that an entry strikes.
type Group string

// The groups of machines that the bench tells apart. Core stands for the
// machines whose loss the deployment counts.
const (
	AnyGroup Group = ""
	Core     Group = "core"
	Front    Group = "front"
	Store    Group = "store"
)

// Field is a number that an entry of a kind may carry, with its usual range.
type Field struct {
	Name     string
	Min, Max float64
	Whole    bool
}

// Kind is a sort of trouble or of planned work that the bench knows.
type Kind struct {
	Name string
	// Planned entries stand in a day's plan, all others among its faults.
	Planned bool
	Fields  []Field
	// Variants are the values that its field how may take.
	Variants []string
	// Groups are the classes of machines it may strike; empty: it takes none.
	Groups []Group
	// Lossy kinds take machines down, or away from the others.
	Lossy bool
	// LastsS is how long its loss lasts where the entry does not say.
	LastsS float64
	// Target is the name of a field that a caller's name fills, if any.
	Target string
}

// Names of the fields.
const (
	lasting = "for_s"
	gap     = "gap_s"
	share   = "share"
	count   = "count"
	times   = "x"
)

// Names of the fields that take a name from the deployment.
const (
	targetService = "service"
	targetClass   = "class"
)

// machineVariants choose a machine and what happens on its return.
var machineVariants = []string{"", "power", "leader", "leader race", "leader race hard", "leader race drain", "reader", "seed", "seed race drain", "meet", "meet drain", "power leader race hard", "race", "hard"}

// cutVariants choose the machines that are cut off, and how.
var cutVariants = []string{"", "one_way", "seeds", "both", "leader", "leader race", "leader one_way race hard", "leader one_way race drain hard", "race", "meet", "race hard", "seeds race", "both race", "leader reset", "leader refuse race", "reader"}

var greyVariants = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}

var badVariants = []string{"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}

var changeVariants = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}

// Kinds are all kinds that days are made of.
var Kinds = []Kind{
	{Name: "burst", Fields: []Field{{times, 1.5, 2.2, false}, {lasting, 2, 6, false}}, Target: targetClass},
	{Name: "release", Planned: true, Fields: []Field{{share, 0.3, 0.6, false}, {times, 1, 2, true}, {gap, 0.5, 1.2, false}}},
	{Name: "answer_lost", Fields: []Field{{share, 0.4, 1, false}, {times, 0.03, 0.3, false}, {lasting, 4, 15, false}}, Variants: []string{"", "reset"}, Target: targetService},
	{Name: "garble", Fields: []Field{{share, 0.4, 1, false}, {times, 0.02, 0.2, false}, {lasting, 4, 15, false}}, Variants: []string{"", "extra", "late", "extra late"}},
	{Name: "node_kill", Fields: []Field{{count, 1, 1, true}, {lasting, 1, 6, false}}, Variants: machineVariants, Groups: []Group{Core, Store, Front}, Lossy: true},
	{Name: "node_freeze", Fields: []Field{{count, 1, 1, true}, {lasting, 1, 6, false}}, Variants: machineVariants, Groups: []Group{Core, Store, Front}, Lossy: true},
	{Name: "node_slow", Fields: []Field{{count, 1, 1, true}, {times, 4, 15, false}, {lasting, 2, 8, false}}, Groups: []Group{Core, Store, Front}, Lossy: true},
	{Name: "node_cut", Fields: []Field{{count, 1, 2, true}, {lasting, 2, 20, false}}, Variants: []string{"", "servers", "reset", "refuse"}, Groups: []Group{Front}, Lossy: true},
	{Name: "herd_kill", Fields: []Field{{share, 0.3, 0.7, false}, {lasting, 1, 3, false}}, Variants: []string{"", "power"}, Groups: []Group{Front}, Lossy: true},
	{Name: "roll_term", Planned: true, Fields: []Field{{share, 0.4, 1, false}, {times, 1, 2, true}, {gap, 0.8, 1.5, false}}, Variants: []string{"", "busy"}},
	{Name: "add_nodes", Planned: true, Fields: []Field{{count, 1, 1, true}}, Groups: []Group{Store, Front}},
	{Name: "replace_core", Fields: []Field{{times, 0.5, 3, false}}, Variants: []string{"", "planned"}, Groups: []Group{Core, Store}, Lossy: true, LastsS: 3},
	{Name: "after_ack_kill", Fields: []Field{{count, 1, 1, true}, {lasting, 1, 3, false}}, Variants: []string{"", "kill", "timed", "taken"}, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "after_ack_wipe", Fields: []Field{{count, 1, 1, true}, {lasting, 1, 3, false}}, Variants: []string{"", "timed", "taken"}, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "core_cut", Fields: []Field{{count, 1, 1, true}, {lasting, 3, 20, false}}, Variants: cutVariants, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "config_change", Planned: true, Variants: changeVariants},
	{Name: "config_race", Planned: true, Fields: []Field{{count, 2, 12, true}, {gap, 0.3, 1.2, false}}},
	{Name: "bad_config", Planned: true, Fields: []Field{{count, 1, 6, true}, {gap, 0.3, 1, false}}, Variants: badVariants},
	{Name: "revoke", Planned: true, Fields: []Field{{count, 1, 2, true}, {gap, 0.5, 1.5, false}}},
	{Name: "retire", Planned: true, Fields: []Field{{lasting, 6, 10, false}}, Variants: []string{"", "wipe"}, Lossy: true, LastsS: 10},
	{Name: "srv_crash", Fields: []Field{{share, 0.1, 0.3, false}, {lasting, 2, 8, false}}, Variants: []string{"", "dark", "gone"}, Target: targetService},
	{Name: "srv_slow", Fields: []Field{{share, 0.1, 0.4, false}, {times, 2, 8, false}, {lasting, 3, 10, false}}, Target: targetService},
	{Name: "srv_grey", Fields: []Field{{share, 0.1, 0.4, false}, {times, 0.3, 0.9, false}, {lasting, 3, 12, false}}, Variants: greyVariants, Target: targetService},
	{Name: "replace_with_reuse", Fields: []Field{{share, 0.1, 0.3, false}}, Variants: []string{"", "drain", "dark"}, Target: targetService},
	{Name: "scale_out", Planned: true, Fields: []Field{{share, 0.2, 0.5, false}, {gap, 0.5, 3, false}}, Target: targetService},
	{Name: "scale_in", Planned: true, Fields: []Field{{share, 0.1, 0.2, false}, {times, 1, 3, false}}, Variants: []string{"", "spot"}, Target: targetService},
	{Name: "seed_turnover", Planned: true},
	{Name: "disk_slow", Fields: []Field{{count, 1, 1, true}, {times, 10, 100, false}, {lasting, 4, 20, false}}, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "disk_full", Fields: []Field{{count, 1, 1, true}, {lasting, 3, 15, false}}, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "disk_stall", Fields: []Field{{count, 1, 1, true}, {lasting, 1, 8, false}}, Groups: []Group{Core, Store}, Lossy: true},
	{Name: "clock_step", Fields: []Field{{share, 0.2, 0.6, false}, {times, 500, 8000, true}, {lasting, 3, 10, false}}, Variants: []string{"back", "ahead"}},
	{Name: "hup", Planned: true, Fields: []Field{{share, 0.3, 1, false}, {gap, 0.5, 2, false}}},
	{Name: "reset_conns", Fields: []Field{{share, 0.2, 0.8, false}, {times, 0.3, 1, false}}},
	{Name: "ack_lost", Fields: []Field{{times, 0.7, 0.95, false}, {lasting, 5, 25, false}}},
}

// kindNamed finds a kind.
func kindNamed(name string) (Kind, bool) {
	for _, kind := range Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}
