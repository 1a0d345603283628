package chain

// Retention bounds what a node keeps of the past beside its state. The zero value stands for DefaultRetention.
type Retention struct {
	Entries     int // committed entries held for processes that lag; who lacks more gets a snapshot
	EntryBytes  int // and the size of their commands at most
	RewriteFrom int // bytes below which the log on disk is not rewritten
}

// DefaultRetention is what suits a process in service: some seconds of the fastest changes in memory, and a log on disk that is read
// again in well under a second.
func DefaultRetention() Retention {
	return Retention{Entries: 256, EntryBytes: 1 << 20, RewriteFrom: 1 << 20}
}

func (r Retention) orDefault() Retention {
	if r == (Retention{}) {
		return DefaultRetention()
	}
	return r
}
