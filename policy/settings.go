package policy

import (
	"cmp"
	"slices"
	"time"
)

// New settings while messages are held. These messages keep the class under which they were accepted, with its number
// of attempts. All other settings apply from the event on.

// applyDefaults fills in the defaults.
func (cfg *Settings) applyDefaults() {
	cfg.Senders = max(1, cfg.Senders)
	cfg.ColdShare = cmp.Or(max(0, cfg.ColdShare), 0.1)
	cfg.WarmWithin = cmp.Or(max(0, cfg.WarmWithin), 30*time.Second)
	cfg.OverloadWindow = cmp.Or(cfg.OverloadWindow, 3*time.Second)
	cfg.FirstSkip = cmp.Or(cfg.FirstSkip, firstSkip)
	cfg.MaxSkip = max(cfg.FirstSkip, cmp.Or(cfg.MaxSkip, maxSkip))
	cfg.OverloadFactor = cmp.Or(max(0, cfg.OverloadFactor), 1)
	cfg.Classes = slices.Clone(cfg.Classes) // the caller's slice must not change
	for i := range cfg.Classes {
		cfg.Classes[i].Attempts = cmp.Or(cfg.Classes[i].Attempts, cfg.MaxAttempts)
	}
}

// configure applies new settings. What is known of routes stays, and so does the customers' use of their shares.
func (s *Sender) configure(cfg Settings) {
	cfg.applyDefaults()
	shares := make([]bucket, len(cfg.Customers))
	for i, c := range cfg.Customers {
		if j := slices.IndexFunc(s.cfg.Customers, func(x Customer) bool { return x.Name == c.Name }); j >= 0 {
			shares[i] = s.shares[j]
		}
	}
	s.cfg, s.shares = cfg, shares
	for _, d := range s.destList {
		s.sortRoutes(d)
		s.recheck(d)
	}
}
