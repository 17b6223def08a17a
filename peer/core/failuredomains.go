package core

// FailureDomains says which groups of machines may be lost at once, besides single machines. Its
// zero value names none.
type FailureDomains struct {
	// Zones and Regions are how many whole ones may be lost at once.
	Zones, Regions int
	// RegionOf has the region of each zone. A zone that it lacks is a region of its own.
	RegionOf map[string]string
}

// Region returns the region of a zone.
func (d FailureDomains) Region(zone string) string {
	if region, ok := d.RegionOf[zone]; ok {
		return region
	}
	return zone
}

// capacity returns how many members of a group of this size a domain may hold, if losses of these
// domains at once must leave a majority. Zero losses mean that nothing bounds it.
func capacity(size, losses int) int {
	if losses == 0 {
		return size
	}
	return max((size-1)/2/losses, 1)
}

// occupancy counts the members of a group by zone and by region.
type occupancy struct {
	domains        FailureDomains
	zones, regions map[string]int
	zoneCapacity   int
	regionCapacity int
}

func (d FailureDomains) occupancy(size int) occupancy {
	return occupancy{
		domains:        d,
		zones:          map[string]int{},
		regions:        map[string]int{},
		zoneCapacity:   capacity(size, d.Zones),
		regionCapacity: capacity(size, d.Regions),
	}
}

func (o occupancy) add(zone string, members int) {
	o.zones[zone] += members
	o.regions[o.domains.Region(zone)] += members
}

// hasRoom reports whether a group with one more member in the zone still survives the tolerated losses.
func (o occupancy) hasRoom(zone string) bool {
	return o.zones[zone] < o.zoneCapacity && o.regions[o.domains.Region(zone)] < o.regionCapacity
}

// overloaded reports whether the tolerated losses could take a majority of the group.
func (o occupancy) overloaded() bool {
	for _, members := range o.zones {
		if members > o.zoneCapacity {
			return true
		}
	}
	for _, members := range o.regions {
		if members > o.regionCapacity {
			return true
		}
	}
	return false
}

// mayMove reports whether moving a member between zones leaves the group spread as well as before.
func (o occupancy) mayMove(from, to string) bool {
	if from == to {
		return true
	}
	if o.zones[to] >= o.zones[from] {
		return false
	}
	fromRegion, toRegion := o.domains.Region(from), o.domains.Region(to)
	return o.domains.Regions == 0 || fromRegion == toRegion || o.regions[toRegion] < o.regions[fromRegion]
}

// ExposedPartitions returns the partitions whose groups have fewer members than the tolerated losses
// ask for, or are placed such that these could take a majority.
func (m *Machine) ExposedPartitions() []int {
	var exposed []int
	size := m.groupSize()
	for n, group := range m.groups {
		spread := m.params.Domains.occupancy(size)
		for _, member := range group.Members {
			spread.add(m.cores[CoreID(member)].Zone, 1)
		}
		if len(group.Members) < size || spread.overloaded() {
			exposed = append(exposed, n)
		}
	}
	return exposed
}
