// Package invariant implements assertions that stay enabled in production. A check costs a comparison and an atomic increment. A
// violation is logged with its values, counted in the status of the process, and ends the process if the environment variable
// WALLFLOW_INVARIANTS is "panic", as it is in tests and trials. It uses only the standard library, because the relay imports it.
package invariant

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Name identifies a check in logs and counts.
type Name int

// The checks, each with the reason why it must hold.
const (
	// A policy change is sealed (committed) only if every session has promised it. Otherwise a relay could go on under the old policy
	// while others use the new one.
	SealedByAll Name = iota
	// The number of the policy in force only grows. Relays compare it, so a lower number would bring an outdated policy back.
	NumbersRise
	// An agent reports a promise only once it is on disk. Otherwise a crash would lose it, and the agent would admit its relay under
	// the old policy.
	PromiseOnDisk
	// No relay process is admitted while a promise is open or before the policy in force begins. It could accept messages under the
	// old policy after the new one has begun elsewhere.
	AdmittedInTheClear
	// A relay never returns to an earlier policy.
	GateRises
	// A message is stored with the number of the policy under which the gate accepts it. With another number it would be handled by
	// the wrong rules after a restart.
	StampFits

	nameCount // number of checks
)

var nameTexts = [nameCount]string{"sealed-by-all", "numbers-rise", "promise-on-disk", "admitted-in-the-clear", "gate-rises", "stamp-fits"}

func (n Name) String() string { return nameTexts[n] }

// All returns all checks.
func All() []Name {
	all := make([]Name, nameCount)
	for i := range all {
		all[i] = Name(i)
	}
	return all
}

const logInterval = time.Second

var (
	checked, broken  [nameCount]atomic.Int64
	panicOnViolation = os.Getenv("WALLFLOW_INVARIANTS") == "panic"

	logMu        sync.Mutex
	lastLoggedAt time.Time
)

// Holds counts a check and returns ok. A violation is also logged with its values, at most once per logInterval.
func Holds(name Name, ok bool, values ...any) bool {
	checked[name].Add(1)
	if ok {
		return true
	}
	broken[name].Add(1)
	if panicOnViolation {
		panic(fmt.Sprintf("invariant %s is broken: %v", name, values))
	}
	logMu.Lock()
	defer logMu.Unlock()
	if now := time.Now(); now.Sub(lastLoggedAt) >= logInterval {
		lastLoggedAt = now
		slog.Error("invariant broken", "name", name.String(), "values", fmt.Sprint(values...), "times", broken[name].Load())
	}
	return false
}

// Count holds how often a check was made and how often it failed.
type Count struct{ Checked, Broken int64 }

// Counts returns the counts of this process so far, by name.
func Counts() map[string]Count {
	all := map[string]Count{}
	for _, n := range All() {
		all[n.String()] = Count{checked[n].Load(), broken[n].Load()}
	}
	return all
}

// Broken returns the number of failed checks in this process.
func Broken() (n int64) {
	for i := range broken {
		n += broken[i].Load()
	}
	return n
}
