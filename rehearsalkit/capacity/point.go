// Package capacity measures the resource use of the control plane at a given size. It runs nodes,
// registries and cores in one process on a simulated clock, with simulated replicas and requesters.
// Messages are encoded as on the wire. Start reading at Measure and Sweep.
package capacity

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Point is one size of a deployment.
type Point struct {
	Nodes      int `help:"Relaying nodes." default:"16"`
	Registries int `name:"desks" help:"Desks." default:"3"`
	Cores      int `help:"Cores." default:"3"`
	Zones      int `help:"Zones." default:"3"`
	Regions    int `help:"Regions that the zones are in." default:"1"`
	Replicas   int `help:"Replicas." default:"32"`
	Models     int `help:"Models that replicas serve." default:"4"`
	Tenants    int `help:"Tenants, spread unevenly." default:"16"`
	Programs   int `help:"Programs under way; each takes one turn at a time." default:"100"`
	// Requesters send only turns.
	Rate      int `help:"Turns a second." default:"200"`
	Turns     int `help:"Turns of a program." default:"4"`
	TurnBytes int `help:"Bytes of one turn's input and output." default:"2000"`
	Changes   int `help:"Changes of the configuration an hour." default:"0"`
	GroupSize int `name:"group-seats" help:"Members of a consensus group." default:"3"`
	// Machines are the resources of a process by role; none limits nothing.
	Machines map[string]MachineClass `kong:"-"`
}

const (
	baseGroupSize    = 3
	baseSyncDuration = 700 * time.Microsecond
)

func (p Point) syncDuration() time.Duration {
	if class, ok := p.Machines[coreRole]; ok && class.SyncDuration > 0 {
		return class.SyncDuration
	}
	return baseSyncDuration
}

// Base is the default point that sweeps start from.
var Base = Point{
	Nodes:      16,
	Registries: 3,
	Cores:      3,
	Zones:      3,
	Regions:    1,
	Replicas:   32,
	Models:     4,
	Tenants:    16,
	Programs:   100,
	Rate:       200,
	Turns:      4,
	TurnBytes:  2000,
	GroupSize:  baseGroupSize,
}

// Axis is one parameter of a point that is swept.
type Axis struct {
	Name  string
	Sizes []int
	Set   func(p *Point, size int)
}

// Axes are swept one at a time.
var Axes = []Axis{
	{"nodes", []int{8, 16, 32, 64, 128}, func(p *Point, n int) { p.Nodes = n }},
	{"desks", []int{2, 3, 4, 6}, func(p *Point, n int) { p.Registries = n }},
	{"cores", []int{3, 4, 5, 6, 9}, func(p *Point, n int) { p.Cores = n }},
	{"replicas", []int{32, 64, 128, 256}, func(p *Point, n int) { p.Replicas = n }},
	{"tenants", []int{8, 16, 32, 64, 128}, func(p *Point, n int) { p.Tenants = n }},
	{"programs", []int{50, 100, 200, 400}, func(p *Point, n int) { p.Programs = n }},
	{"rate", []int{50, 100, 200, 400}, func(p *Point, n int) { p.Rate, p.Programs = n, n/2 }},
	{"turns", []int{2, 4, 8, 16}, func(p *Point, n int) { p.Turns = n }},
	{"turn_bytes", []int{1000, 2000, 4000, 8000, 16000}, func(p *Point, n int) { p.TurnBytes = n }},
	{"changes", []int{0, 600, 1200, 2400}, func(p *Point, n int) { p.Changes = n }},
}

func (p Point) check() error {
	for _, n := range []int{p.Nodes, p.Registries, p.Replicas, p.Tenants, p.Programs, p.Rate, p.Turns, p.TurnBytes, p.Zones, p.Regions} {
		if n < 1 {
			return errors.New("every size but the changes must be at least 1")
		}
	}
	if p.Models < 1 || p.Models > p.Replicas {
		return errors.New("there must be a replica of each model")
	}
	if p.GroupSize < 1 || p.Cores < p.GroupSize {
		return errors.Newf("at least %d cores are needed", max(p.GroupSize, 1))
	}
	return nil
}

// Memory returns an upper estimate of the heap of a run, in bytes. Stored turns count twice, as
// ended programs are retained for a while.
func (p Point) Memory() int64 {
	node := 200_000 + int64(p.Replicas)*(int64(p.Registries)*600+3000) + int64(p.Tenants)*2200 +
		min(nodeCacheBytes, int64(p.Rate)*int64(p.TurnBytes)*60/int64(p.Nodes))
	registry := 200_000 + int64(p.Replicas)*600 + int64(p.Nodes)*400 + int64(p.Tenants)*1500
	kept := int64(p.Programs) * int64(p.Turns) * (int64(p.TurnBytes) + 40*int64(p.Turns) + 800) * 2 * int64(p.GroupSize)
	return 64_000_000 + 2*(int64(p.Nodes)*node+int64(p.Registries)*registry+kept)
}

// AvailableMemory returns half of the machine's memory, in bytes.
func AvailableMemory() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "machine's memory")
	}
	return int64(info.Totalram) * int64(info.Unit) / 2, nil
}

// Check fails if the point is invalid or needs more than available bytes. The error names a smaller
// point that would fit.
func (p Point) Check(available int64) error {
	if err := p.check(); err != nil {
		return err
	}
	need := p.Memory()
	if need <= available {
		return nil
	}
	for _, percent := range slices.Backward([]int{1, 2, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90}) {
		q := p
		q.Nodes, q.Programs = max(1, p.Nodes*percent/100), max(1, p.Programs*percent/100)
		if q.Memory() <= available {
			return errors.Newf("needs about %d MB and may take %d MB; %d nodes with %d programs would fit (about %d MB)",
				need>>20, available>>20, q.Nodes, q.Programs, q.Memory()>>20)
		}
	}
	return errors.Newf("needs about %d MB and may take %d MB; not even a hundredth of its nodes and programs fits, make turns or their bytes fewer",
		need>>20, available>>20)
}

// thinkTime is the time between the starts of a program's turns.
func (p Point) thinkTime() time.Duration {
	return time.Duration(float64(p.Programs) / float64(p.Rate) * float64(time.Second))
}
