package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Verdicts on a fit. Only the slope of a Good fit is reliable.
const (
	Good        = "good"
	TooFew      = "too few points"
	WithinNoise = "hidden by the spread"
	NotLinear   = "not a straight line"
)

// Fit is a straight line through measured points.
type Fit struct {
	Intercept, Slope float64
	// Error is the slope's standard error.
	Error    float64
	RSquared float64
	Verdict  string
}

// Least numbers of sizes and of runs of each for a reliable fit.
const (
	minSizes   = 4
	minRepeats = 3
)

// FitLine fits a line by least squares. A good fit has at least minSizes sizes with minRepeats
// values each, a slope above twice its standard error, and an R squared of at least 0.95.
func FitLine(sizes, values []float64) Fit {
	repeats := map[float64]int{}
	for _, x := range sizes {
		repeats[x]++
	}
	enough := len(repeats) >= minSizes
	for _, n := range repeats {
		enough = enough && n >= minRepeats
	}
	if len(repeats) < 2 || len(sizes) < 3 {
		return Fit{Verdict: TooFew}
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
		f.Verdict = TooFew
	case math.Abs(f.Slope) <= 2*f.Error:
		f.Verdict = WithinNoise
	case f.RSquared < 0.95:
		f.Verdict = NotLinear
	default:
		f.Verdict = Good
	}
	return f
}
