package params

import (
	"strings"

	"saffronfall/peer/core"
)

// FailureDomains holds the settings of what may be lost at once: machines, by the size of groups, zones
// and regions.
type FailureDomains struct {
	GroupSize        int64    `json:"group_seats"`
	MinGroupSize     int64    `json:"least_group_seats"`
	ToleratedZones   int64    `json:"tolerated_zones"`
	ToleratedRegions int64    `json:"tolerated_regions"`
	ZoneRegions      []string `json:"zone_regions"`
}

func (d FailureDomains) domains() core.FailureDomains {
	domains := core.FailureDomains{
		Zones:    int(d.ToleratedZones),
		Regions:  int(d.ToleratedRegions),
		RegionOf: map[string]string{},
	}
	for _, item := range d.ZoneRegions {
		zone, region, _ := strings.Cut(item, "=")
		domains.RegionOf[zone] = region
	}
	return domains
}

func checkZoneRegions(value any) string {
	list, _ := value.([]any)
	for _, item := range list {
		text, _ := item.(string)
		if zone, region, ok := strings.Cut(text, "="); !ok || checkName(zone) != "" || checkName(region) != "" {
			return "each a zone and its region, such as zone-1=region-1"
		}
	}
	return ""
}
