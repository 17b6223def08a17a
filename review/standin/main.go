// Command standin plays the scripted cases of the review: it starts the system's own processes on
// loopback addresses, with sound stand-ins for replicas, clients and the operator, and judges what
// they saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, started: time.Now()}
	root, _ = filepath.Abs(root)
	f, err := newFleet(root, rec)
	if err != nil {
		rec.log("the fleet can't be laid out: %v", err)
		return 2
	}
	defer f.stop()
	// TROUBLE=0 leaves out both disruptions, TROUBLE=kill and TROUBLE=disk the other one.
	trouble := os.Getenv("TROUBLE")
	killed, wiped := trouble != "0" && trouble != "disk", trouble != "0" && trouble != "kill"
	code := 2
	if name == "start" {
		code = playStart(f, killed, wiped)
	}
	rec.log("exit %d", code)
	return code
}
