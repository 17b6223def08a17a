package capacity

import (
	"encoding/csv"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"saffronfall/rule/ordered"
)

// Sample is one figure of one run.
type Sample struct {
	Axis   string
	Size   int
	Repeat int
	Figure
}

// Sweep measures every size with repeats seeds, and calls each after every run. It fails before the
// first run if a size needs more than available bytes.
func Sweep(a Axis, base Point, repeats int, seed uint64, span Span, available int64, each func(size, repeat int)) ([]Sample, error) {
	for _, size := range a.Sizes {
		p := base
		a.Set(&p, size)
		if err := p.Check(available); err != nil {
			return nil, errors.Wrapf(err, "%s=%d", a.Name, size)
		}
	}
	var list []Sample
	for _, size := range a.Sizes {
		for repeat := range repeats {
			p := base
			a.Set(&p, size)
			figures, err := Measure(p, seed+uint64(repeat), span, None)
			if err != nil {
				return nil, errors.Wrapf(err, "%s=%d", a.Name, size)
			}
			for _, f := range figures {
				list = append(list, Sample{Axis: a.Name, Size: size, Repeat: repeat, Figure: f})
			}
			each(size, repeat)
		}
	}
	return list, nil
}

// WriteSamples writes samples as CSV.
func WriteSamples(to io.Writer, list []Sample) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"axis", "size", "repeat", "role", "measure", "value"}}
	for _, s := range list {
		rows = append(rows, []string{s.Axis, strconv.Itoa(s.Size), strconv.Itoa(s.Repeat), s.Role, s.Measure, number(s.Value)})
	}
	return w.WriteAll(rows)
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }

// AxisFit is the fit of one measure over one axis.
type AxisFit struct {
	Axis, Role, Measure string
	Fit
	sizes, values []float64
}

// FitAll fits every measure over its axis. A measure that is missing in a run counts as 0.
func FitAll(list []Sample) []AxisFit {
	type run struct{ size, repeat int }
	runs := map[string]map[run]bool{}
	groups := map[string]map[run]float64{}
	for _, s := range list {
		if runs[s.Axis] == nil {
			runs[s.Axis] = map[run]bool{}
		}
		runs[s.Axis][run{s.Size, s.Repeat}] = true
		name := s.Axis + "\x00" + s.Role + "\x00" + s.Measure
		if groups[name] == nil {
			groups[name] = map[run]float64{}
		}
		groups[name][run{s.Size, s.Repeat}] = s.Value
	}
	var slopes []AxisFit
	for _, name := range ordered.Keys(groups) {
		parts := strings.Split(name, "\x00")
		s := AxisFit{Axis: parts[0], Role: parts[1], Measure: parts[2]}
		for r := range runs[s.Axis] {
			s.sizes = append(s.sizes, float64(r.size))
			s.values = append(s.values, groups[name][r])
		}
		s.Fit = FitLine(s.sizes, s.values)
		slopes = append(slopes, s)
	}
	return slopes
}

// WriteFits writes fits as CSV.
func WriteFits(to io.Writer, list []AxisFit) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"axis", "role", "measure", "intercept", "slope", "standard error", "r squared", "verdict"}}
	for _, s := range list {
		rows = append(rows, []string{
			s.Axis, s.Role, s.Measure,
			number(s.Intercept), number(s.Slope), number(s.SlopeError), number(s.RSquared), s.Verdict,
		})
	}
	return w.WriteAll(rows)
}

// Plot writes a plot of each fit, except for single kinds of messages.
func Plot(folder string, list []AxisFit) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "plots")
	}
	for _, s := range list {
		if s.Verdict == TooFew || strings.HasPrefix(s.Measure, "sent ") || strings.HasPrefix(s.Measure, "received ") {
			continue
		}
		p := plot.New()
		p.Title.Text = s.Role + ": " + s.Measure + " (" + s.Verdict + ")"
		p.X.Label.Text, p.Y.Label.Text = s.Axis, s.Measure
		points := make(plotter.XYs, len(s.sizes))
		for i := range points {
			points[i] = plotter.XY{X: s.sizes[i], Y: s.values[i]}
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.Slope*x })
		p.Add(dots, line)
		name := strings.NewReplacer(" ", "-", "/", "-per-").Replace(s.Axis + "_" + s.Role + "_" + s.Measure)
		if err := p.Save(12*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, name+".png")); err != nil {
			return errors.Wrap(err, "plot")
		}
	}
	return nil
}
