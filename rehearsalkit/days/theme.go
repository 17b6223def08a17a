package days

// Step restricts one entry of a sequence. Everything else is drawn from the kind's ranges.
type Step struct {
	Kind     string
	Group    Group
	Variants []string
	Fixed    []Field
	// AfterS is the pause in seconds after the start of the previous step.
	AfterS Field
	// AfterRepair also waits until the machines lost in the previous step have caught up.
	AfterRepair bool
}

func (s Step) field(name string) (Field, bool) {
	for _, field := range s.Fixed {
		if field.Name == name {
			return field, true
		}
	}
	return Field{}, false
}

// Theme is a weak point that a day targets.
type Theme struct {
	Name string
	// Sequences are drawn at random; none: single entries of all kinds.
	Sequences [][]Step
	// Planned is drawn at random beside them.
	Planned []Step
	// ChangesS is the pause in seconds between single changes of the configuration; 0: none.
	ChangesS Field
}

func exactly(name string, value float64) Field {
	return Field{Name: name, Min: value, Max: value}
}

func between(name string, low, high float64) Field {
	return Field{Name: name, Min: low, Max: high}
}

// Themes lists the themes in the order of their rotation.
var Themes = []Theme{
	{
		Name: "cut",
		Sequences: [][]Step{
			{{Kind: "core_cut", Group: Core, Fixed: []Field{exactly(fieldDuration, 20)}}},
			{
				{Kind: "core_cut", Group: Core, Fixed: []Field{between(fieldDuration, 4, 8)}},
				{
					Kind:        "core_cut",
					Group:       Core,
					Variants:    []string{"leader race hard", "leader one_way race", "both", "seeds"},
					AfterRepair: true,
				},
			},
			{{Kind: "core_cut", Group: Store, Fixed: []Field{between(fieldDuration, 5, 20)}}},
			{
				{Kind: "node_cut", Group: Front, Fixed: []Field{between(fieldDuration, 4, 20)}},
				{Kind: "reset_conns", AfterS: between("", 0.2, 2)},
			},
			{
				{Kind: "core_cut", Group: Core, Variants: []string{"leader one_way race hard"}, Fixed: []Field{exactly(fieldDuration, 20)}},
				{Kind: "reset_conns", AfterS: between("", 19, 21)},
			},
		},
		Planned: []Step{{Kind: "config_race", Fixed: []Field{between(fieldCount, 4, 10)}}, {Kind: "config_change"}, {Kind: "bad_config"}},
	},
	{
		Name: "orders",
		Sequences: [][]Step{
			{
				{Kind: "ack_lost"},
				{
					Kind:     "node_kill",
					Group:    Core,
					Variants: []string{"leader race hard", "leader race drain", "power leader race hard"},
					AfterS:   between("", 1, 4),
				},
			},
			{
				{Kind: "ack_lost"},
				{
					Kind:     "core_cut",
					Group:    Core,
					Variants: []string{"leader race hard", "leader race", "leader one_way race hard"},
					Fixed:    []Field{between(fieldDuration, 3, 9)},
					AfterS:   between("", 1, 4),
				},
			},
			{{Kind: "ack_lost"}, {Kind: "after_ack_kill", AfterS: between("", 0, 3)}},
			{
				{Kind: "node_freeze", Group: Core, Variants: []string{"leader race hard", "leader"}},
				{Kind: "hup", AfterS: between("", 0.5, 2)},
			},
			{{Kind: "node_kill", Group: Store}, {Kind: "ack_lost", AfterS: between("", 0, 1)}},
		},
		Planned: []Step{
			{Kind: "config_race", Fixed: []Field{between(fieldCount, 6, 14)}},
			{Kind: "bad_config"},
			{Kind: "config_race"},
			{Kind: "revoke"},
			{Kind: "config_change"},
		},
		ChangesS: between("", 0.8, 2),
	},
	{
		Name: "repair",
		Sequences: [][]Step{
			{{Kind: "replace_core"}, {Kind: "after_ack_wipe", AfterRepair: true}},
			{
				{Kind: "replace_core", Group: Store},
				{Kind: "after_ack_wipe", Group: Store, AfterRepair: true},
				{Kind: "after_ack_kill", Group: Store, AfterRepair: true},
			},
			// Add a store first: one may be wiped only while enough others remain.
			{
				{Kind: "add_nodes", Group: Store},
				{Kind: "retire", Variants: []string{"wipe"}, AfterS: between("", 5, 7)},
				{Kind: "after_ack_wipe", Group: Store, AfterRepair: true},
			},
			{{Kind: "add_nodes", Group: Store}, {Kind: "after_ack_wipe", Group: Store, AfterS: between("", 1, 6)}},
			{{Kind: "after_ack_wipe", Group: Store}, {Kind: "after_ack_wipe", Group: Store, AfterRepair: true}},
			{
				{Kind: "after_ack_wipe", Group: Core},
				{Kind: "replace_core", Group: Core, AfterRepair: true},
				{Kind: "after_ack_wipe", Group: Core, AfterRepair: true},
			},
			{
				{Kind: "node_kill", Group: Core, Variants: []string{"power"}},
				{Kind: "after_ack_wipe", Variants: []string{"taken"}, AfterRepair: true},
			},
			{
				{Kind: "herd_kill", Group: Front, Variants: []string{"power"}},
				{Kind: "after_ack_wipe", Variants: []string{"taken", "timed"}, AfterRepair: true},
			},
		},
		Planned: []Step{{Kind: "config_race"}, {Kind: "config_change"}, {Kind: "roll_term"}},
	},
	{
		Name: "changes",
		Sequences: [][]Step{
			{{Kind: "disk_slow"}, {Kind: "node_kill", Group: Core, AfterRepair: true}},
			{{Kind: "disk_full"}, {Kind: "node_kill", Group: Store, Variants: []string{"", "power"}, AfterRepair: true}},
			{{Kind: "disk_stall"}, {Kind: "after_ack_kill", AfterRepair: true}},
			{
				{Kind: "node_kill", Group: Core, Fixed: []Field{between(fieldDuration, 8, 15)}},
				{Kind: "node_kill", Group: Core, Variants: []string{"power"}, AfterRepair: true},
			},
			{{Kind: "node_kill", Group: Store, Fixed: []Field{between(fieldDuration, 6, 12)}}, {Kind: "roll_term", AfterRepair: true}},
		},
		Planned: []Step{
			{Kind: "config_race", Fixed: []Field{between(fieldCount, 10, 30), between(fieldGap, 0.2, 0.5)}},
			{Kind: "roll_term"},
		},
		ChangesS: between("", 0.15, 0.5),
	},
	{
		Name: "answers",
		Sequences: [][]Step{
			{
				{Kind: "answer_lost"},
				{Kind: "garble", Variants: []string{"extra late"}, AfterS: between("", 0, 2)},
				{Kind: "reset_conns", AfterS: between("", 1, 3)},
			},
			{
				{Kind: "garble", Variants: []string{"extra", "extra late", "late"}},
				{Kind: "srv_grey", Variants: []string{"hang", "reset", "mute"}, AfterS: between("", 0, 2)},
			},
			{
				{Kind: "replace_with_reuse"},
				{Kind: "answer_lost", Variants: []string{"reset"}, AfterS: between("", 0, 1)},
				{Kind: "reset_conns", AfterS: between("", 0.5, 2)},
			},
			{{Kind: "srv_grey", Variants: []string{"hang", "reset", "mute"}}, {Kind: "replace_with_reuse", AfterS: between("", 1, 3)}},
			{
				{Kind: "srv_crash"},
				{Kind: "replace_with_reuse", Variants: []string{"dark", "drain"}, AfterS: between("", 0, 2)},
				{Kind: "garble", AfterS: between("", 0, 1)},
			},
			{{Kind: "burst"}, {Kind: "answer_lost", AfterS: between("", 0, 1)}, {Kind: "srv_slow", AfterS: between("", 0, 1)}},
		},
		Planned: []Step{
			{Kind: "release"},
			{Kind: "roll_term", Variants: []string{"busy"}},
			{Kind: "config_change", Variants: []string{"timeout", "weights"}},
		},
	},
	{
		Name: "stores",
		// Machines of the storage role are replaced and emptied until no spare one is left.
		Sequences: [][]Step{
			{
				{Kind: "replace_core", Group: Store, Variants: []string{"planned"}},
				{Kind: "retire", Variants: []string{""}, AfterS: between("", 16, 24)},
			},
			{
				{Kind: "replace_core", Group: Store, Variants: []string{""}},
				{Kind: "retire", Variants: []string{""}, AfterRepair: true},
				{Kind: "replace_core", Group: Store, Variants: []string{""}, AfterRepair: true},
			},
			{
				{Kind: "add_nodes", Group: Store},
				{Kind: "retire", Variants: []string{""}, AfterS: between("", 4, 8)},
				{Kind: "after_ack_kill", Group: Store, AfterRepair: true},
				{Kind: "retire", Variants: []string{""}, AfterS: between("", 0.5, 4)},
			},
			{
				{Kind: "replace_core", Group: Store, Variants: []string{"planned"}},
				{Kind: "after_ack_wipe", Group: Store, AfterRepair: true},
				{Kind: "retire", Variants: []string{""}, AfterRepair: true},
			},
		},
		Planned:  []Step{{Kind: "config_change"}, {Kind: "config_race"}, {Kind: "roll_term"}},
		ChangesS: between("", 2, 5),
	},
	{Name: anyTheme},
}

// anyTheme is the theme of single entries of all kinds.
const anyTheme = "any"

func themeNamed(name string) (Theme, bool) {
	for _, theme := range Themes {
		if theme.Name == name {
			return theme, true
		}
	}
	return Theme{}, false
}
