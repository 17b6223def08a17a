package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// survivingMembers is the fewest members of a group that the loss of the tolerated zones, or of the
// tolerated regions, leaves.
func survivingMembers(domains FailureDomains, group []string, cores []Core) int {
	zones, regions := map[string]int{}, map[string]int{}
	for _, member := range group {
		for _, c := range cores {
			if c.MemberID() == member {
				zones[c.Zone]++
				regions[domains.Region(c.Zone)]++
			}
		}
	}
	return len(group) - max(greatest(zones, domains.Zones), greatest(regions, domains.Regions))
}

func greatest(counts map[string]int, number int) int {
	sum := 0
	for range number {
		most := ""
		for name, count := range counts {
			if count > counts[most] {
				most = name
			}
		}
		sum += counts[most]
		counts[most] = 0
	}
	return sum
}

// TestPlacementSurvivesTheLossOfDomains guards against groups that lose their majority with tolerated
// zones or regions, on uneven fleets and while cores are silent.
func TestPlacementSurvivesTheLossOfDomains(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for round := range 500 {
		domains := FailureDomains{Zones: 1 + random.IntN(2), Regions: random.IntN(2), RegionOf: map[string]string{}}
		size := 2*domains.Zones + 1
		zoneCount := size + random.IntN(3)
		for zone := range zoneCount {
			domains.RegionOf[fmt.Sprint("z", zone)] = fmt.Sprint("r", zone%3)
		}
		var cores []Core
		silent := map[string]bool{}
		silentZone := random.IntN(2 * zoneCount)
		for zone := range zoneCount {
			for range 1 + random.IntN(4) {
				c := Core{ID: fmt.Sprint("c", len(cores)), Incarnation: "1", Zone: fmt.Sprint("z", zone)}
				silent[c.ID] = zone == silentZone
				cores = append(cores, c)
			}
		}
		for n, group := range domains.Place(9, size, cores, silent) {
			if len(group) != size || 2*survivingMembers(domains, group, cores) <= size {
				t.Fatalf("round %d, %+v: partition %d has the members %v of %+v", round, domains, n, group, cores)
			}
		}
	}
}

// TestTooFewDomainsAreFilled guards against groups that stay too small where nothing survives the
// tolerated losses, as with two zones.
func TestTooFewDomainsAreFilled(t *testing.T) {
	var cores []Core
	for i := range 4 {
		cores = append(cores, Core{ID: fmt.Sprint("c", i), Incarnation: "1", Zone: fmt.Sprint("z", i%2)})
	}
	for _, group := range (FailureDomains{Zones: 1}).Place(5, 3, cores, nil) {
		if len(group) != 3 || survivingMembers(FailureDomains{Zones: 1}, group, cores) != 1 {
			t.Errorf("members %v", group)
		}
	}
}

func (f *fleet) tolerate(domains FailureDomains, size int) {
	f.params.Domains, f.params.MinGroupSize, f.size = domains, size, size
	for _, core := range f.cores {
		core.m.params.Domains, core.m.params.MinGroupSize, core.m.placement = domains, size, nil
	}
}

// loseZone empties all disks of a zone, with its cores down for a while, and waits until the fleet is
// whole again. No group may have two members in one zone meanwhile.
func (f *fleet) loseZone(zone string, down, within time.Duration) {
	f.t.Helper()
	for _, core := range f.cores {
		if core.zone == zone {
			f.kill(core)
			f.wipe(core)
		}
	}
	for end := f.now + down; f.now < end; {
		f.step()
		f.checkZones()
	}
	for _, core := range f.cores {
		if core.zone == zone {
			core.cold = false
			f.start(core)
		}
	}
	for began := f.now; f.now < began+within; {
		f.step()
		f.checkZones()
	}
	if reason := f.unsettled(); reason != "" {
		f.t.Fatalf("%v after the return of %s: %s", within, zone, reason)
	}
}

func (f *fleet) checkZones() {
	f.t.Helper()
	zones := map[string]string{}
	for _, core := range f.cores {
		zones[core.id] = core.zone
	}
	for n := range testPartitions {
		_, group, _ := f.leader(n)
		perZone := map[string]int{}
		for _, member := range group.Members {
			perZone[zones[CoreID(member)]]++
			if perZone[zones[CoreID(member)]] > 1 {
				f.t.Fatalf("%v: partition %d has two members in a zone: %v", f.now, n, group.Members)
			}
		}
	}
}

// TestZonesAreLostInTurn guards against groups that lose what they acknowledged when whole zones are
// lost with their disks, each once the one before is whole again.
func TestZonesAreLostInTurn(t *testing.T) {
	for _, cores := range []int{3, 6, 8} {
		f := newFleet(t, 3, cores)
		f.tolerate(FailureDomains{Zones: 1}, 3)
		f.awaitSettled("with a tolerated zone", settleTime)
		for _, zone := range []string{"z0", "z1", "z2", "z0"} {
			// Twice the silence timeout is the time in which a fleet is whole again.
			f.loseZone(zone, 3*time.Second, 2*f.params.SilenceTimeout)
		}
		f.checkClaims()
	}
}

// TestGroupsGrowToTheTolerance guards against fleets that were founded with one member to a group, and
// stay so after the settings ask for more.
func TestGroupsGrowToTheTolerance(t *testing.T) {
	f := newFleet(t, 1, 3)
	exposed := func() int { return len(f.cores[0].m.ExposedPartitions()) }
	f.tolerate(FailureDomains{Zones: 1}, 3)
	if exposed() != testPartitions {
		t.Errorf("%d partitions are reported as exposed, all %d are", exposed(), testPartitions)
	}
	f.awaitSettled("after the settings changed", settleTime)
	f.advance(f.params.MemberLease) // the cores exchange the topology
	if exposed() != 0 {
		t.Errorf("%d partitions are still reported as exposed", exposed())
	}
	f.loseZone("z1", 3*time.Second, 2*f.params.SilenceTimeout)
	f.checkClaims()
}
