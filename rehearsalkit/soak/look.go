package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// level is what a process holds: it must come back to it when requesters are gone.
type level struct {
	goroutines, files, live, violations float64
}

// levelNames are the metrics that a level is read from.
const (
	goroutinesMetric = "go_goroutines"
	filesMetric      = "process_open_fds"
	liveMetric       = "saffronfall_node_live"
	violationsMetric = "saffronfall_invariant_violations"
)

// metrics reads what a process tells of itself.
func (f *Fleet) metrics(p *process) (map[string]float64, bool) {
	answer, err := f.client.Get("http://" + p.at(metricsPort) + "/metrics")
	if err != nil {
		return nil, false
	}
	defer answer.Body.Close()
	values := map[string]float64{}
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		var value float64
		name, rest, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		if _, err := fmt.Sscan(rest, &value); err == nil {
			values[name] = value
		}
	}
	return values, answer.StatusCode == http.StatusOK
}

func (f *Fleet) level(p *process) (level, bool) {
	values, ok := f.metrics(p)
	return level{goroutines: values[goroutinesMetric], files: values[filesMetric], live: values[liveMetric], violations: values[violationsMetric]}, ok
}

// levels reads all processes' levels before any requester comes.
func (f *Fleet) levels(ctx context.Context) map[*process]level {
	all := map[*process]level{}
	for _, p := range f.processes {
		f.until(ctx, 5*time.Second, func() bool {
			l, ok := f.level(p)
			all[p] = l
			return ok
		})
	}
	return all
}

// Room above the levels of the beginning: streams between processes come and go, and
// kept connections to replicas stay.
const (
	spareGoroutines = 60
	spareFiles      = 120
	backWithin      = 12 * time.Second
)

// back wants all processes back at their levels once the requesters are gone, and
// looks for signs of faults in their logs.
func (f *Fleet) back(ctx context.Context, base map[*process]level) {
	for _, p := range f.processes {
		p.check()
		var last level
		answered := false
		met := f.until(ctx, backWithin, func() bool {
			l, ok := f.level(p)
			if !ok {
				return false
			}
			last, answered = l, true
			return l.live == 0 && l.goroutines <= base[p].goroutines+spareGoroutines && l.files <= base[p].files+spareFiles
		})
		switch {
		case !answered:
			f.found(RuleBack, "%s tells no metrics at the end", p.name)
		case !met:
			f.found(RuleBack, "%s holds %+v %v after the requesters left; it began with %+v", p.name, last, backWithin, base[p])
		}
		if last.violations > 0 {
			f.found(RuleChecked, "%s counted %v violations of invariants", p.name, last.violations)
		}
		p.readLog()
	}
}

// lastLook reads the table back at every desk until it is told.
func (f *Fleet) lastLook(ctx context.Context) {
	for _, desk := range f.of(roleDesk) {
		reader := &tables{fleet: f}
		if !f.until(ctx, contactTime+2*time.Second, func() bool { return reader.read(ctx, desk) }) {
			f.found(RuleTables, "%s tells no table at the end", desk.name)
		}
	}
}
