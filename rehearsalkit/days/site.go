package days

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// site is the part of a site file that days need.
type site struct {
	Traffic []map[string]any `toml:"traffic"`
	Timing  struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

func readSite(path string) (site, error) {
	var read site
	if _, err := toml.DecodeFile(path, &read); err != nil {
		return site{}, errors.Wrap(err, "read the site file")
	}
	return read, nil
}

// traffic returns the traffic as inline TOML, with its rates multiplied by load.
func (s site) traffic(load float64) ([]string, error) {
	var lines []string
	for _, source := range s.Traffic {
		scaled := map[string]any{}
		for name, value := range source {
			scaled[name] = value
		}
		rate, ok := scaled["per_s"].(float64)
		if !ok {
			return nil, errors.New("a traffic entry of the site file lacks the number per_s")
		}
		scaled["per_s"] = rounded(rate * load)
		lines = append(lines, inline(scaled))
	}
	return lines, nil
}

// inline returns TOML on a single line, with sorted keys.
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
