package directory

import "slices"

// homes are the sets of home regions of a host's routes. Routes without homes add no set.
type homes [][]string

// count is the number of sets that a region is in.
func (h homes) count(region string) int {
	count := 0
	for _, set := range h {
		if slices.Contains(set, region) {
			count++
		}
	}
	return count
}

// admit tells whether a region is a home of any route of the host. Every region is where no route has homes.
func (h homes) admit(region string) bool {
	return len(h) == 0 || h.count(region) > 0
}

// best keeps the relays whose region is in as many sets as that of any other. Of a client's requests on routes with homes the fewest
// then reach a machine outside of their homes.
func (h homes) best(relays []candidate) []candidate {
	most := 0
	for _, relay := range relays {
		most = max(most, h.count(relay.region))
	}
	return slices.DeleteFunc(relays, func(relay candidate) bool { return h.count(relay.region) < most })
}
