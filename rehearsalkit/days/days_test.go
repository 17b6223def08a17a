package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

func optionsFor(theme string) Options {
	return Options{Theme: theme, LengthS: 60, Floor: 0.3, MaxLosses: 1, CatchUpS: 4.5, MeanPauseS: 2, Closing: closingRandom}
}

// Days must depend on the seed and the options alone.
func TestSameSeedSameBytes(t *testing.T) {
	for _, theme := range Themes {
		first, second := Generate(optionsFor(theme.Name), 7).Text(), Generate(optionsFor(theme.Name), 7).Text()
		if first != second {
			t.Fatalf("%s: two days of one seed differ", theme.Name)
		}
		if first == Generate(optionsFor(theme.Name), 8).Text() {
			t.Fatalf("%s: two seeds made the same day", theme.Name)
		}
	}
}

func TestEveryKindAndVariantIsDrawn(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(400) {
		for _, entry := range Generate(optionsFor(anyTheme), seed).Entries {
			seen[entry.Kind.Name+"/"+entry.text("how")] = true
			seen[entry.Kind.Name] = true
		}
	}
	for _, kind := range Kinds {
		if !seen[kind.Name] {
			t.Errorf("%s is never drawn", kind.Name)
		}
		for _, variant := range kind.Variants {
			if !seen[kind.Name+"/"+variant] {
				t.Errorf("%s: variant %q is never drawn", kind.Name, variant)
			}
		}
	}
}

func TestThemesNameKnownKindsAndVariants(t *testing.T) {
	for _, theme := range Themes {
		steps := append([]Step{}, theme.Planned...)
		for _, sequence := range theme.Sequences {
			steps = append(steps, sequence...)
		}
		for _, step := range steps {
			kind, known := kindNamed(step.Kind)
			if !known {
				t.Errorf("%s: unknown kind %q", theme.Name, step.Kind)
			}
			for _, fixed := range step.Fixed {
				if !hasField(kind, fixed.Name) {
					t.Errorf("%s: %s has no field %s", theme.Name, kind.Name, fixed.Name)
				}
			}
		}
		for _, planned := range theme.Planned {
			if kind, _ := kindNamed(planned.Kind); !kind.Planned {
				t.Errorf("%s: %s is not planned work", theme.Name, planned.Kind)
			}
		}
	}
}

func hasField(kind Kind, name string) bool {
	for _, field := range kind.Fields {
		if field.Name == name {
			return true
		}
	}
	return false
}

func TestConcurrentLossesStayWithinLimit(t *testing.T) {
	for _, theme := range Themes {
		for limit := 1; limit <= 2; limit++ {
			for seed := range uint64(200) {
				options := optionsFor(theme.Name)
				options.MaxLosses = limit
				checkLosses(t, Generate(options, seed), limit, options.CatchUpS)
			}
		}
	}
}

func checkLosses(t *testing.T, day Day, limit int, catchUpS float64) {
	t.Helper()
	for _, entry := range day.Entries {
		away := 0
		for _, other := range day.Entries {
			if sameGroup(entry, other) && other.AtS <= entry.AtS && entry.AtS < other.AtS+other.lossDurationS()+catchUpS {
				away += other.machinesLost()
			}
		}
		if entry.Kind.CausesLoss && away > limit {
			t.Fatalf("%s: %d machines lost at %v, limit %d", day.Name, away, entry.AtS, limit)
		}
	}
}

func sameGroup(a, b Entry) bool {
	stores := func(e Entry) bool { return e.Group == Store || e.Kind.Name == "retire" }
	return a.Kind.CausesLoss && b.Kind.CausesLoss && stores(a) == stores(b)
}

func TestDaysAreDense(t *testing.T) {
	for _, theme := range Themes {
		entries := 0
		for seed := range uint64(20) {
			entries += len(Generate(optionsFor(theme.Name), seed).Entries)
		}
		if entries < 20*10 {
			t.Errorf("%s: %d entries in 20 days", theme.Name, entries)
		}
	}
	if entries := len(Generate(optionsFor("changes"), 3).Entries); entries < 120 {
		t.Errorf("a day of changes has %d entries, want at least 120", entries)
	}
}

func TestSecondLossFollowsRepairImmediately(t *testing.T) {
	closest := 1000.0
	for seed := range uint64(50) {
		previous := map[bool]float64{}
		for _, entry := range Generate(optionsFor("repair"), seed).Entries {
			if !entry.Kind.CausesLoss {
				continue
			}
			stores := entry.Group == Store || entry.Kind.Name == "retire"
			if ended, ok := previous[stores]; ok {
				closest = min(closest, entry.AtS-ended)
			}
			previous[stores] = entry.AtS + entry.lossDurationS() + 4.5
		}
	}
	if closest > 0.1 {
		t.Errorf("the closest second loss comes %v s after the repair", closest)
	}
}

func TestTextParsesAsTOML(t *testing.T) {
	for _, theme := range Themes {
		options := optionsFor(theme.Name)
		options.Closing = "wipe_after_ack"
		var read struct {
			Day []struct {
				Seed    uint64
				Plan    []map[string]any
				Faults  []map[string]any
				Closing map[string]any
			}
		}
		day := Generate(options, 5)
		if _, err := toml.Decode(day.Text(), &read); err != nil {
			t.Fatalf("%s: %v\n%s", theme.Name, err, day.Text())
		}
		if got := len(read.Day[0].Plan) + len(read.Day[0].Faults); got != len(day.Entries) {
			t.Errorf("%s: %d entries read back of %d", theme.Name, got, len(day.Entries))
		}
		if read.Day[0].Closing["kind"] != "wipe_after_ack" {
			t.Errorf("%s: closing %v", theme.Name, read.Day[0].Closing)
		}
	}
}

func TestSiteFileSetsTrafficAndTolerance(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "site.toml")
	text := `traffic = [{ zone = "north", per_s = 8.0, mix = { ask = 2.0 }, shape = { kind = "wave" } }]
[timing]
catch_up_s = 6.5
[tolerate]
machines = 2
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := Command{Theme: themeRotation, Seed: 1, Count: 3, Length: 30, Pause: 2, Closing: closingNone, Site: path, Load: 0.5, Out: filepath.Join(folder, "out")}
	options, err := command.options()
	if err != nil {
		t.Fatal(err)
	}
	if options.MaxLosses != 2 || options.CatchUpS != 6.5 || len(options.Traffic) != 1 || !strings.Contains(options.Traffic[0], "per_s = 4") {
		t.Fatalf("options %+v", options)
	}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadDir(command.Out)
	if err != nil || len(written) != 3 {
		t.Fatalf("%d days written: %v", len(written), err)
	}
}

func TestInvalidFlagsAreRejected(t *testing.T) {
	valid := Command{Theme: "cut", Length: 30, Pause: 2, Closing: closingNone}
	for name, invalidate := range map[string]func(*Command){
		"theme":   func(c *Command) { c.Theme = "unknown" },
		"closing": func(c *Command) { c.Closing = "unknown" },
		"pause":   func(c *Command) { c.Pause = 0 },
		"length":  func(c *Command) { c.Length = 5 },
	} {
		command := valid
		invalidate(&command)
		if _, err := command.options(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
