package directory

import "slices"

// homeRegions holds the sets of home regions of a host's routes. Routes without home regions contribute no set.
type homeRegions [][]string

// countSets returns the number of sets that contain a region.
func (h homeRegions) countSets(region string) int {
	count := 0
	for _, set := range h {
		if slices.Contains(set, region) {
			count++
		}
	}
	return count
}

// allow reports whether a region is a home region of any route of the host. If no route has home regions, every region is allowed.
func (h homeRegions) allow(region string) bool {
	return len(h) == 0 || h.countSets(region) > 0
}

// preferMostSets keeps the relays whose region is in the largest number of sets. This minimizes the number of a client's requests that
// reach a machine outside the home regions of their route.
func (h homeRegions) preferMostSets(relays []candidate) []candidate {
	highest := 0
	for _, relay := range relays {
		highest = max(highest, h.countSets(relay.region))
	}
	return slices.DeleteFunc(relays, func(relay candidate) bool { return h.countSets(relay.region) < highest })
}
