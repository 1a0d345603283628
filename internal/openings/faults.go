package openings

// Faults counts breaches of what must always hold. Each stays zero in a program without mistakes.
type Faults struct {
	VersionsFell  uint64 // an older part took the place of a newer one
	CountedTwice  uint64 // a relay's count went into a merge more than once
	BrokenHomes   uint64 // an opening was named outside its homes
	UnfencedMoves uint64 // a decision was made without being the owner, or over a newer token
}

// Any tells whether anything was breached.
func (f Faults) Any() bool { return f != Faults{} }

// mistake is a fault that tests plant, to see that they would find it.
type mistake uint8

const (
	noMistake mistake = iota
	mistakeRepeatsCount
	mistakeOlderWins
	mistakeLastWordStands
	mistakeTwoOwners
	mistakeHomesIgnored
)
