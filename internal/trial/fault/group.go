package fault

import "sync"

// Net knows the links between named parties, and cuts the parties into groups.
type Net struct {
	mu     sync.Mutex
	links  []between
	groups map[string]int // nil: all are together
	oneWay bool
}

type between struct {
	from, to string
	link     interface {
		Faults() Faults
		Set(Faults)
	}
}

// Add tells of a link by which from reaches to. While the parties are cut apart it is cut from the start.
func (n *Net) Add(from, to string, link interface {
	Faults() Faults
	Set(Faults)
}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := between{from, to, link}
	n.links = append(n.links, b)
	n.apply(b)
}

// Partition cuts the parties into groups: what is in none of them is a group of its own, with all others that are in
// none. Where oneWay is set, only what goes to the later group is lost, what comes from it is not.
func (n *Net) Partition(oneWay bool, groups ...[]string) {
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

// Heal puts all parties together again.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups = nil
	for _, b := range n.links {
		n.apply(b)
	}
}

// apply makes a link as the groups have it, and leaves its other faults.
func (n *Net) apply(b between) {
	f := b.link.Faults()
	from, to := n.groups[b.from], n.groups[b.to]
	f.To.Cut = from != to && (!n.oneWay || to > from)
	f.From.Cut = from != to && (!n.oneWay || from > to)
	if f != b.link.Faults() {
		b.link.Set(f)
	}
}

// Faults returns what the link does now.
func (k *PacketLink) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}
