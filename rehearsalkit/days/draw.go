package days

import (
	"math"
	"math/rand/v2"
	"slices"
)

// targets are the names of a deployment that entries may refer to.
type targets struct {
	services, classes []string
}

// drawEntry draws fields from the step's ranges, or else from those of the kind.
func drawEntry(random *rand.Rand, step Step, kind Kind, names targets) Entry {
	entry := Entry{Kind: kind, Group: drawGroup(random, step, kind)}
	for _, field := range kind.Fields {
		if fixed, ok := step.field(field.Name); ok {
			field.Min, field.Max = fixed.Min, fixed.Max
		}
		entry.Values = append(entry.Values, Value{Name: field.Name, Number: drawNumber(random, field)})
	}
	variants := kind.Variants
	if len(step.Variants) > 0 {
		variants = step.Variants
	}
	if variant := pick(random, variants); variant != "" {
		entry.Values = append(entry.Values, Value{Name: "how", Text: variant})
	}
	if name := names.draw(random, kind); name != "" {
		entry.Values = append(entry.Values, Value{Name: kind.Target, Text: name})
	}
	return entry
}

// draw returns a target, or "" if the choice is left to the bench.
func (t targets) draw(random *rand.Rand, kind Kind) string {
	switch kind.Target {
	case targetService:
		return pick(random, t.services)
	case targetClass:
		return pick(random, t.classes)
	}
	return ""
}

func drawGroup(random *rand.Rand, step Step, kind Kind) Group {
	if step.Group != AnyGroup && slices.Contains(kind.Groups, step.Group) {
		return step.Group
	}
	if len(kind.Groups) == 0 {
		return AnyGroup
	}
	return kind.Groups[random.IntN(len(kind.Groups))]
}

func drawNumber(random *rand.Rand, field Field) float64 {
	number := field.Min + random.Float64()*(field.Max-field.Min)
	if field.Whole {
		return math.Round(number)
	}
	return rounded(number)
}

// rounded rounds to three decimal places.
func rounded(number float64) float64 {
	return math.Round(number*1000) / 1000
}

// pick returns a random element, or "" for an empty list.
func pick(random *rand.Rand, list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[random.IntN(len(list))]
}
