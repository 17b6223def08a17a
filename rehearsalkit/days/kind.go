// Package days generates days for the users' bench from a seed. A day is a schedule of faults and
// planned work that targets chosen weak points of a deployment. No more machines of a group are
// lost at once than the options allow. Start reading at Generate.
package days

// Group is the class of machines that an entry affects.
type Group string

// The bench's groups of machines. For the limit of losses, all machines outside Store count as
// Core.
const (
	AnyGroup Group = ""
	Core     Group = "core"
	Front    Group = "front"
	Store    Group = "store"
)

// Field is a numeric field of an entry, with its range. Whole makes it an integer.
type Field struct {
	Name     string
	Min, Max float64
	Whole    bool
}

// Kind is a kind of fault or planned work of the bench.
type Kind struct {
	Name string
	// Planned marks planned work, as opposed to faults.
	Planned bool
	Fields  []Field
	// Variants are the values of the text field how.
	Variants []string
	// Groups are the groups that it can affect; empty: it has no such field.
	Groups []Group
	// CausesLoss marks kinds that stop, slow down or disconnect machines.
	CausesLoss bool
	// DefaultLossS is the least duration of the loss, in seconds.
	DefaultLossS float64
	// Target is the field, if any, that takes a name of the deployment.
	Target string
}

// Names of the bench's numeric fields. Depending on the kind, fieldFactor is a factor, a
// probability, a count or a time.
const (
	fieldDuration = "for_s"
	fieldGap      = "gap_s"
	fieldShare    = "share"
	fieldCount    = "count"
	fieldFactor   = "x"
)

// Names of the fields that take a name of the deployment.
const (
	targetService = "service"
	targetClass   = "class"
)

var machineVariants = []string{
	"", "power", "leader", "leader race", "leader race hard", "leader race drain", "reader", "seed",
	"seed race drain", "meet", "meet drain", "power leader race hard", "race", "hard",
}

var cutVariants = []string{
	"", "one_way", "seeds", "both", "leader", "leader race", "leader one_way race hard",
	"leader one_way race drain hard", "race", "meet", "race hard", "seeds race", "both race",
	"leader reset", "leader refuse race", "reader",
}

var greyVariants = []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}

// badConfigVariants are defects of a configuration that must be refused.
var badConfigVariants = []string{
	"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
	"same_version", "stale_match", "shared_key",
}

var configChangeVariants = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}

// Kinds lists all kinds of entries.
var Kinds = []Kind{
	{Name: "burst", Fields: []Field{{fieldFactor, 1.5, 2.2, false}, {fieldDuration, 2, 6, false}}, Target: targetClass},
	{
		Name:    "release",
		Planned: true,
		Fields:  []Field{{fieldShare, 0.3, 0.6, false}, {fieldFactor, 1, 2, true}, {fieldGap, 0.5, 1.2, false}},
	},
	{
		Name:     "answer_lost",
		Fields:   []Field{{fieldShare, 0.4, 1, false}, {fieldFactor, 0.03, 0.3, false}, {fieldDuration, 4, 15, false}},
		Variants: []string{"", "reset"},
		Target:   targetService,
	},
	{
		Name:     "garble",
		Fields:   []Field{{fieldShare, 0.4, 1, false}, {fieldFactor, 0.02, 0.2, false}, {fieldDuration, 4, 15, false}},
		Variants: []string{"", "extra", "late", "extra late"},
	},
	{
		Name:       "node_kill",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 1, 6, false}},
		Variants:   machineVariants,
		Groups:     []Group{Core, Store, Front},
		CausesLoss: true,
	},
	{
		Name:       "node_freeze",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 1, 6, false}},
		Variants:   machineVariants,
		Groups:     []Group{Core, Store, Front},
		CausesLoss: true,
	},
	{
		Name:       "node_slow",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldFactor, 4, 15, false}, {fieldDuration, 2, 8, false}},
		Groups:     []Group{Core, Store, Front},
		CausesLoss: true,
	},
	{
		Name:       "node_cut",
		Fields:     []Field{{fieldCount, 1, 2, true}, {fieldDuration, 2, 20, false}},
		Variants:   []string{"", "servers", "reset", "refuse"},
		Groups:     []Group{Front},
		CausesLoss: true,
	},
	{
		Name:       "herd_kill",
		Fields:     []Field{{fieldShare, 0.3, 0.7, false}, {fieldDuration, 1, 3, false}},
		Variants:   []string{"", "power"},
		Groups:     []Group{Front},
		CausesLoss: true,
	},
	{
		Name:     "roll_term",
		Planned:  true,
		Fields:   []Field{{fieldShare, 0.4, 1, false}, {fieldFactor, 1, 2, true}, {fieldGap, 0.8, 1.5, false}},
		Variants: []string{"", "busy"},
	},
	{Name: "add_nodes", Planned: true, Fields: []Field{{fieldCount, 1, 1, true}}, Groups: []Group{Store, Front}},
	{
		Name:         "replace_core",
		Fields:       []Field{{fieldFactor, 0.5, 3, false}},
		Variants:     []string{"", "planned"},
		Groups:       []Group{Core, Store},
		CausesLoss:   true,
		DefaultLossS: 3,
	},
	{
		Name:       "after_ack_kill",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 1, 3, false}},
		Variants:   []string{"", "kill", "timed", "taken"},
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{
		Name:       "after_ack_wipe",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 1, 3, false}},
		Variants:   []string{"", "timed", "taken"},
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{
		Name:       "core_cut",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 3, 20, false}},
		Variants:   cutVariants,
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{Name: "config_change", Planned: true, Variants: configChangeVariants},
	{Name: "config_race", Planned: true, Fields: []Field{{fieldCount, 2, 12, true}, {fieldGap, 0.3, 1.2, false}}},
	{Name: "bad_config", Planned: true, Fields: []Field{{fieldCount, 1, 6, true}, {fieldGap, 0.3, 1, false}}, Variants: badConfigVariants},
	{Name: "revoke", Planned: true, Fields: []Field{{fieldCount, 1, 2, true}, {fieldGap, 0.5, 1.5, false}}},
	{
		Name:         "retire",
		Planned:      true,
		Fields:       []Field{{fieldDuration, 6, 10, false}},
		Variants:     []string{"", "wipe"},
		CausesLoss:   true,
		DefaultLossS: 10,
	},
	{
		Name:     "srv_crash",
		Fields:   []Field{{fieldShare, 0.1, 0.3, false}, {fieldDuration, 2, 8, false}},
		Variants: []string{"", "dark", "gone"},
		Target:   targetService,
	},
	{
		Name:   "srv_slow",
		Fields: []Field{{fieldShare, 0.1, 0.4, false}, {fieldFactor, 2, 8, false}, {fieldDuration, 3, 10, false}},
		Target: targetService,
	},
	{
		Name:     "srv_grey",
		Fields:   []Field{{fieldShare, 0.1, 0.4, false}, {fieldFactor, 0.3, 0.9, false}, {fieldDuration, 3, 12, false}},
		Variants: greyVariants,
		Target:   targetService,
	},
	{
		Name:     "replace_with_reuse",
		Fields:   []Field{{fieldShare, 0.1, 0.3, false}},
		Variants: []string{"", "drain", "dark"},
		Target:   targetService,
	},
	{Name: "scale_out", Planned: true, Fields: []Field{{fieldShare, 0.2, 0.5, false}, {fieldGap, 0.5, 3, false}}, Target: targetService},
	{
		Name:     "scale_in",
		Planned:  true,
		Fields:   []Field{{fieldShare, 0.1, 0.2, false}, {fieldFactor, 1, 3, false}},
		Variants: []string{"", "spot"},
		Target:   targetService,
	},
	{Name: "seed_turnover", Planned: true},
	{
		Name:       "disk_slow",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldFactor, 10, 100, false}, {fieldDuration, 4, 20, false}},
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{
		Name:       "disk_full",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 3, 15, false}},
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{
		Name:       "disk_stall",
		Fields:     []Field{{fieldCount, 1, 1, true}, {fieldDuration, 1, 8, false}},
		Groups:     []Group{Core, Store},
		CausesLoss: true,
	},
	{
		Name:     "clock_step",
		Fields:   []Field{{fieldShare, 0.2, 0.6, false}, {fieldFactor, 500, 8000, true}, {fieldDuration, 3, 10, false}},
		Variants: []string{"back", "ahead"},
	},
	{Name: "hup", Planned: true, Fields: []Field{{fieldShare, 0.3, 1, false}, {fieldGap, 0.5, 2, false}}},
	{Name: "reset_conns", Fields: []Field{{fieldShare, 0.2, 0.8, false}, {fieldFactor, 0.3, 1, false}}},
	{Name: "ack_lost", Fields: []Field{{fieldFactor, 0.7, 0.95, false}, {fieldDuration, 5, 25, false}}},
}

func kindNamed(name string) (Kind, bool) {
	for _, kind := range Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}
