package chain

// Retention limits the history that a node keeps beside its state. The zero value stands for DefaultRetention.
type Retention struct {
	Entries         int // committed entries kept for processes that lag; one that lacks more gets a snapshot
	EntryBytes      int // maximum size of the commands of these entries
	MinRewriteBytes int // size in bytes below which the log file is not rewritten
}

// DefaultRetention returns the limits for production use: entries for several seconds of the highest change rate, and a
// log file that is read in well under a second at a start.
func DefaultRetention() Retention {
	return Retention{Entries: 256, EntryBytes: 1 << 20, MinRewriteBytes: 1 << 20}
}

func (r Retention) withDefaults() Retention {
	if r == (Retention{}) {
		return DefaultRetention()
	}
	return r
}
