package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Verdicts on a fit.
const (
	Good   = "good"
	Few    = "too few points"
	Hidden = "hidden by the spread"
	Bent   = "not a straight line"
)

// Fit is a straight line through measured points.
type Fit struct {
	Intercept, Slope float64
	// Error is the slope's standard error.
	Error    float64
	RSquared float64
	Verdict  string
}

const (
	fewestSizes   = 4
	fewestRepeats = 3
)

// FitLine fits a line by least squares, and says whether it can be relied on: from four
// sizes with three repeats each, a slope above twice its standard error, and a
// line that explains nineteen parts in twenty of the spread.
func FitLine(sizes, values []float64) Fit {
	repeats := map[float64]int{}
	for _, x := range sizes {
		repeats[x]++
	}
	enough := len(repeats) >= fewestSizes
	for _, n := range repeats {
		enough = enough && n >= fewestRepeats
	}
	if len(repeats) < 2 || len(sizes) < 3 {
		return Fit{Verdict: Few}
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	residuals := make([]float64, len(sizes))
	var sum float64
	for i, x := range sizes {
		residuals[i] = values[i] - f.Intercept - f.Slope*x
		sum += residuals[i] * residuals[i]
	}
	free := float64(len(sizes) - 2)
	f.Error = math.Sqrt(sum / free / (stat.Variance(sizes, nil) * float64(len(sizes)-1)))
	f.RSquared = 1
	if stat.Variance(values, nil) > 0 {
		f.RSquared = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
	}
	switch {
	case !enough:
		f.Verdict = Few
	case math.Abs(f.Slope) <= 2*f.Error:
		f.Verdict = Hidden
	case f.RSquared < 0.95:
		f.Verdict = Bent
	default:
		f.Verdict = Good
	}
	return f
}
