package worth

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sample = `{"G":0.72,"parts":[["whole day",0.35,0.9],["worst windows",0.5,0.7],["worst class",0.15,0.8]],"prices":[["machine-seconds",4932.0,0.06],["probes",0.0,0.0]],
"windows":[{"name":"0","n":10,"in_aim":10,"late":0,"refused":0,"failed":0,"worth":1.0,"p50_ms":100},{"name":"2","n":10,"in_aim":5,"late":3,"refused":1,"failed":1,"worth":0.6,"p50_ms":300}],
"classes":[{"name":"chat","n":20,"in_aim":15,"late":3,"refused":1,"failed":1,"worth":0.8,"p50_ms":200}],
"events":[{"at_s":2.5,"to_s":3.0,"kind":"burst"}],"ends":{"200":3}}`

func sampleReport(t *testing.T, text string) Report {
	t.Helper()
	path := filepath.Join(t.TempDir(), "report.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestLossesSumToTotal(t *testing.T) {
	r := sampleReport(t, sample)
	sum := 0.0
	for _, l := range r.Losses() {
		sum += l.Worth
	}
	if math.Abs(sum-(1-r.Worth)) > 1e-9 {
		t.Errorf("losses add up to %v of %v", sum, 1-r.Worth)
	}
	var out bytes.Buffer
	r.print(&out)
	for _, want := range []string{"| worst windows | 0.1500 |", "| 2 | 10 | 5 | 3 | 1 | 1 | 0.600 | 300 | burst |", "| chat | 20 |", "price: machine-seconds"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "probes") {
		t.Error("a price without cost is printed")
	}
}

func TestComparePairs(t *testing.T) {
	at := func(worth float64) Report { return Report{Worth: worth} }
	var out bytes.Buffer
	if err := compare(&out, []Report{at(0.5), at(0.6), at(0.4)}, []Report{at(0.6), at(0.7), at(0.5)}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "mean difference +0.100, 95% interval +0.100 to +0.100 (3 pairs)") {
		t.Error(out.String())
	}
	if compare(&out, []Report{at(1)}, nil) == nil {
		t.Error("one report was compared with none")
	}
	if mean, half := interval([]float64{1}); mean != 1 || !math.IsInf(half, 1) {
		t.Errorf("interval of a single value: %v, %v", mean, half)
	}
	if mean, half := interval([]float64{1, 2, 3, 4}); mean != 2.5 || math.Abs(half-3.18*math.Sqrt(5.0/3/4)) > 1e-9 {
		t.Errorf("mean %v, half %v", mean, half)
	}
}

func TestReadRejectsOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "other.json")
	if err := os.WriteFile(path, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{path, path + ".none"} {
		if _, err := Read(name); err == nil {
			t.Errorf("%s was read as a report", name)
		}
	}
}
