// Command reviewstandin2 plays the scripts of the second review: it starts the project's processes
// on loopback addresses, stands for the platform, the operator, replicas and clients, and judges what
// these can see. Its arguments are a case, the case's folder, and "trouble" or "calm".
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripts by name. A script returns its result.
var cases = map[string]func(b *bench) int{}

// bench is what a script works with.
type bench struct {
	record  *os.File
	began   time.Time
	trouble bool
	root    string // of the repository
	fleet   *fleet
	servers []*replica
	lines   chan string
	written chan struct{}
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "trouble" && os.Args[3] != "calm" {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER trouble|calm")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] == "trouble"))
}

func play(name, folder string, trouble bool) int {
	root, err := filepath.Abs(".")
	if err != nil {
		return notRun
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	b := &bench{record: record, began: time.Now(), trouble: trouble, root: root,
		lines: make(chan string, 1024), written: make(chan struct{})}
	go b.write()
	b.note("case %s, trouble %v", name, b.trouble)
	result := notRun
	if b.fleet, err = newFleet(b); err != nil {
		b.note("could not run: %v", err)
	} else {
		result = cases[name](b)
		b.noteRuns()
		b.fleet.end()
	}
	b.note("result %d (0 held, 1 broken, 2 could not run)", result)
	close(b.lines)
	<-b.written
	record.Close()
	return result
}

func (b *bench) write() {
	for line := range b.lines {
		fmt.Fprintln(b.record, line)
	}
	close(b.written)
}

// note records a line with the time since the start.
func (b *bench) note(format string, args ...any) {
	b.lines <- fmt.Sprintf("%8.3f  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...)
}

// waitFor reports whether a condition was met in time.
func waitFor(within time.Duration, met func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}
