package distribution

import "wallflow/internal/registry"

// Home returns the member that is the home of a key in a zone: the one with the highest hash weight (rendezvous hashing),
// so that a member that joins or leaves moves only the keys that it gets or had. It returns "" if there are no members.
func Home(zone string, members []string, key string) string {
	prefix := registry.NewHash64().Text(zone).Text(key)
	home, highest := "", uint64(0)
	for _, member := range members {
		weight := prefix.Text(member).Sum()
		if home == "" || weight > highest || weight == highest && member < home {
			home, highest = member, weight
		}
	}
	return home
}
