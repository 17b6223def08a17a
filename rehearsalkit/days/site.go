package days

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// site is what days need of a deployment that the caller names.
type site struct {
	Traffic []map[string]any `toml:"traffic"`
	Timing  struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// readSite reads a deployment's file.
func readSite(path string) (site, error) {
	var read site
	if _, err := toml.DecodeFile(path, &read); err != nil {
		return site{}, errors.Wrap(err, "site file")
	}
	return read, nil
}

// traffic is the deployment's own traffic at a share of its rate.
func (s site) traffic(load float64) ([]string, error) {
	var lines []string
	for _, source := range s.Traffic {
		scaled := map[string]any{}
		for name, value := range source {
			scaled[name] = value
		}
		rate, ok := scaled["per_s"].(float64)
		if !ok {
			return nil, errors.New("a line of traffic has no rate per_s")
		}
		scaled["per_s"] = rounded(rate * load)
		lines = append(lines, inline(scaled))
	}
	return lines, nil
}

// inline writes a value as TOML within one line.
func inline(value any) string {
	switch typed := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(typed))
		for name := range typed {
			names = append(names, name)
		}
		sort.Strings(names)
		parts := make([]string, 0, len(names))
		for _, name := range names {
			parts = append(parts, name+" = "+inline(typed[name]))
		}
		return "{ " + strings.Join(parts, ", ") + " }"
	case []any:
		parts := make([]string, 0, len(typed))
		for _, part := range typed {
			parts = append(parts, inline(part))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case string:
		return strconv.Quote(typed)
	case float64:
		return strconv.FormatFloat(typed, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}
