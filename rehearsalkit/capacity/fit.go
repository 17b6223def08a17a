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
	// SlopeError is the slope's standard error.
	SlopeError float64
	RSquared   float64
	Verdict    string
}

// Lower limits of a reliable fit: sizes, runs of each, slope in standard errors, and R squared.
const (
	minSizes       = 4
	minRepeats     = 3
	minSlopeErrors = 2
	minRSquared    = 0.95
)

// FitLine fits a line by least squares. A good fit has at least minSizes sizes with minRepeats
// values each, a slope above minSlopeErrors standard errors, and at least minRSquared.
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
	degreesOfFreedom := float64(len(sizes) - 2)
	f.SlopeError = math.Sqrt(sum / degreesOfFreedom / (stat.Variance(sizes, nil) * float64(len(sizes)-1)))
	f.RSquared = 1
	if stat.Variance(values, nil) > 0 {
		f.RSquared = stat.RSquared(sizes, values, nil, f.Intercept, f.Slope)
	}
	switch {
	case !enough:
		f.Verdict = TooFew
	case math.Abs(f.Slope) <= minSlopeErrors*f.SlopeError:
		f.Verdict = WithinNoise
	case f.RSquared < minRSquared:
		f.Verdict = NotLinear
	default:
		f.Verdict = Good
	}
	return f
}
