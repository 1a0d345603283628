package fault

import "sync"

// Network knows the links between named parties and can partition the parties into groups.
type Network struct {
	mu     sync.Mutex
	links  []namedLink
	groups map[string]int // nil: not partitioned
	oneWay bool
}

type namedLink struct {
	from, to string
	link     interface {
		Faults() Faults
		Set(Faults)
	}
}

// Add registers a link by which from connects to to. If the two are partitioned now, the link is cut at once.
func (n *Network) Add(from, to string, link interface {
	Faults() Faults
	Set(Faults)
}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := namedLink{from, to, link}
	n.links = append(n.links, b)
	n.apply(b)
}

// Partition cuts all links between parties of different groups. Parties that are in no group form one more group, the
// first in order. If oneWay is set, only traffic to the later group is lost.
func (n *Network) Partition(oneWay bool, groups ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups, n.oneWay = map[string]int{}, oneWay
	for i, g := range groups {
		for _, name := range g {
			n.groups[name] = i + 1
		}
	}
	for _, b := range n.links {
		n.apply(b)
	}
}

// Heal ends the partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups = nil
	for _, b := range n.links {
		n.apply(b)
	}
}

// apply cuts or heals a link according to the groups and leaves its other faults unchanged.
func (n *Network) apply(b namedLink) {
	f := b.link.Faults()
	from, to := n.groups[b.from], n.groups[b.to]
	f.To.Cut = from != to && (!n.oneWay || to > from)
	f.From.Cut = from != to && (!n.oneWay || from > to)
	if f != b.link.Faults() {
		b.link.Set(f)
	}
}

// Faults returns the present faults of the link.
func (k *PacketLink) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}
