package worth

import (
	"fmt"
	"io"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Command shows where days lost worth, or compares two builds in pairs.
type Command struct {
	Reports []string `arg:"" type:"path" help:"Reports of played days."`
	Against []string `type:"path" help:"Reports of another build's days with the same seeds in the same order; prints the paired differences."`
}

// Run fails if a report can't be read or has no counterpart.
func (c *Command) Run() error {
	reports, err := readAll(c.Reports)
	if err != nil {
		return err
	}
	if len(c.Against) > 0 {
		others, err := readAll(c.Against)
		if err != nil {
			return err
		}
		return compare(os.Stdout, others, reports)
	}
	for i, r := range reports {
		fmt.Printf("%s: worth %.3f, lost %.3f\n", c.Reports[i], r.Worth, 1-r.Worth)
		r.print(os.Stdout)
	}
	return nil
}

func readAll(paths []string) (reports []Report, err error) {
	for _, path := range paths {
		r, err := Read(path)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// print writes the losses, largest first, then the windows and the classes of requests.
func (r Report) print(out io.Writer) {
	losses := r.Losses()
	sort.SliceStable(losses, func(i, j int) bool { return losses[i].Worth > losses[j].Worth })
	fmt.Fprintln(out, "\n| lost to | worth |\n|---|---|")
	for _, l := range losses {
		fmt.Fprintf(out, "| %s | %.4f |\n", l.Cause, l.Worth)
	}
	fmt.Fprintln(out, "\n| from second | asked | in aim | late | refused | failed | worth | p50 ms | troubles |\n|---|---|---|---|---|---|---|---|---|")
	for i, w := range r.Windows {
		from, to := windowStart(w), math.Inf(1)
		if i+1 < len(r.Windows) {
			to = windowStart(r.Windows[i+1])
		}
		fmt.Fprintf(out, "| %v | %d | %d | %d | %d | %d | %.3f | %.0f | %s |\n",
			w.Name, w.Asked, w.InAim, w.Late, w.Refused, w.Failed, w.Worth, w.Median, strings.Join(r.EventsBetween(from, to), ", "))
	}
	fmt.Fprintln(out, "\n| kind | asked | in aim | late | refused | failed | worth | p50 ms |\n|---|---|---|---|---|---|---|---|")
	for _, w := range r.Classes {
		fmt.Fprintf(out, "| %v | %d | %d | %d | %d | %d | %.3f | %.0f |\n",
			w.Name, w.Asked, w.InAim, w.Late, w.Refused, w.Failed, w.Worth, w.Median)
	}
	fmt.Fprintln(out)
}

// windowStart parses a window's name, the second at which it begins.
func windowStart(w Window) float64 {
	second, err := strconv.ParseFloat(fmt.Sprint(w.Name), 64)
	if err != nil {
		return 0
	}
	return second
}

// studentT95 lists two-sided 95% quantiles of Student's t by degrees of freedom; more use the last.
var studentT95 = []float64{0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23}

// compare prints paired differences, with their mean and its 95% confidence interval.
func compare(out io.Writer, before, after []Report) error {
	if len(before) != len(after) {
		return errors.Newf("%d reports can't be paired with %d", len(after), len(before))
	}
	var differences []float64
	fmt.Fprintln(out, "| pair | before | after | difference |\n|---|---|---|---|")
	for i := range before {
		d := after[i].Worth - before[i].Worth
		differences = append(differences, d)
		fmt.Fprintf(out, "| %d | %.3f | %.3f | %+.3f |\n", i+1, before[i].Worth, after[i].Worth, d)
	}
	mean, halfWidth := interval(differences)
	fmt.Fprintf(out, "\nmean difference %+.3f, 95%% interval %+.3f to %+.3f (%d pairs)\n", mean, mean-halfWidth, mean+halfWidth, len(differences))
	return nil
}

// interval returns the mean and half the width of its 95% confidence interval, which is infinite
// for a single value.
func interval(values []float64) (mean, halfWidth float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if len(values) < 2 {
		return mean, math.Inf(1)
	}
	var squares float64
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	factor := studentT95[min(len(values)-1, len(studentT95)-1)]
	return mean, factor * math.Sqrt(squares/(n-1)/n)
}
