package chain

import (
	"math/rand"
	"time"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/logfile"
)

// Identity names a store. It is random and written with the store's first sync, so a wiped disk is another identity.
type Identity string

// Member is a process that keeps the replicated state. Address is its internal "ip:port".
type Member struct {
	Identity Identity
	Name     string
	Address  string
	Zone     string
	Region   string
}

// View says who votes on the next view and which voters form the chain: Chain[0] is the head, the last one the tail.
type View struct {
	Epoch  uint64
	Voters []Member
	Chain  []Identity
}

// State is an immutable value. Apply of a rejected command returns the same state, and must depend on nothing but the state
// and the command.
type State interface {
	Apply(command []byte) (State, Reply)
	Encode() []byte
}

// Reply is what a state answers to a command.
type Reply struct {
	Accepted bool
	Status   int
	Body     []byte
}

// Decoder is the inverse of State.Encode.
type Decoder func([]byte) (State, error)

// Record is one stored item.
type Record = logfile.Record

// Options are what a node is told at its start.
type Options struct {
	Self         Member        // Identity is ignored: it comes from the store
	Bootstrap    bool          // true at the first start of the whole system alone
	Seeds        []string      // internal addresses of the processes that found the system
	MinimumChain int           // machines that may be lost at once, and one
	Initial      State         // the state before the first command
	Decode       Decoder       // reads what Encode wrote
	AckBound     time.Duration // within which a submitted command has to be answered
	Random       *rand.Rand    // for identities, ballots and back-off
	Retention    Retention     // of old entries
}

// Output is what the owner of a node has to do after a call. Sends may be lost. Writes are carried out in order, and each is
// reported by Written.
type Output struct {
	Sends     []Send
	Writes    []Write
	Answers   []Answer
	Committed bool // the committed state changed
	Logs      []string
}

// Send is a message for the process at an internal address.
type Send struct {
	To      string
	Message *chainpb.Message
}

// Write asks to write and sync records: behind what is there, or, with Rewrite, in a new file in place of the old one.
type Write struct {
	Token   uint64
	Records []Record
	Rewrite bool
}

// Answer ends a request of Submit or Read. Known is false where the outcome is not known: the command may have been, or may yet
// be, applied. State is the state that a Read has read.
type Answer struct {
	Request uint64
	Known   bool
	Reply   Reply
	State   State
}

// Role is the part that a node has in its view.
type Role string

// The roles.
const (
	RoleLearner Role = "learner"
	RoleVoter   Role = "voter"
	RoleMember  Role = "member" // of the chain
	RoleHead    Role = "head"
	RoleTail    Role = "tail"
	RoleSingle  Role = "single" // head and tail
)

// Status describes a node for logs and metrics.
type Status struct {
	Identity  Identity
	Role      Role
	Epoch     uint64
	Installed uint64 // epoch in which the log was last taken from the predecessor in the chain
	Position  uint64
	Committed uint64
	Promised  bool // promised in the instance of the next epoch
	Impaired  bool // the own disk does not keep up, or failed
	Failed    bool // the last write failed
	Counters  Counters
}

// Counters count events since the start. The broken ones are invariants that were found broken, and stay 0.
type Counters struct {
	Proposals          uint64
	ViewsDecided       uint64
	Snapshots          uint64 // sent
	Rewrites           uint64
	FailedWrites       uint64
	UnknownOutcomes    uint64
	BrokenCommitOrder  uint64 // a snapshot would have taken committed back
	BrokenViewValue    uint64 // two views for one epoch
	BrokenCommitLog    uint64 // a committed entry would have been replaced
	BrokenChainMinimum uint64 // a view with too short a chain was told
}

// The times and bounds of a node. Times are kept to within the interval between calls of Tick.
const (
	requestTimeout      = 700 * time.Millisecond  // then the outcome counts as unknown
	longestTimeout      = 2300 * time.Millisecond // the same for a long command
	slowLink            = 128                     // bytes a millisecond, at which a long command passes from end to end at least
	readRetry           = 250 * time.Millisecond  // a read without answer is sent again
	heartbeatInterval   = 300 * time.Millisecond  // from head to tail, and digests to learners
	freshFor            = time.Second             // how long a confirmation of the epoch holds, from when it was asked for
	quietBeforeVote     = 600 * time.Millisecond  // a voter that heard no confirmation for so long supports a new view
	quietBeforeGone     = 2 * time.Second         // the same where membership holds the proposer for gone
	syncRetry           = 200 * time.Millisecond  // a member asks its predecessor again
	startGrace          = 700 * time.Millisecond  // after a start, nobody is held dead yet
	foundingWait        = 1500 * time.Millisecond // for the last of the seeds, when a majority is there
	attemptTimeout      = 900 * time.Millisecond  // of a proposal
	attemptResend       = 250 * time.Millisecond  // of its messages
	promiseWait         = 120 * time.Millisecond  // for more promises than a majority
	placeBackoff        = 150 * time.Millisecond  // between proposers, by place
	randomBackoff       = 100 * time.Millisecond  // and by chance
	supportPause        = 500 * time.Millisecond  // of the own proposal, when another's is supported
	undecidedTimeout    = 500 * time.Millisecond  // after which a promiser proposes by itself
	joinRequestInterval = 500 * time.Millisecond  // of a process that is not a voter
	noticeInterval      = 100 * time.Millisecond  // between view notices to one process
	candidateSteady     = time.Second             // before a learner becomes a voter
	candidateReturned   = 300 * time.Millisecond  // the same for one at the address of a dead voter
	candidateForget     = 2 * time.Second         // a learner that is silent for so long is none
	voterDead           = 2 * time.Second         // before another takes the place of a voter
	activeSteady        = 400 * time.Millisecond  // of an epoch, before its head changes the voters
	troubleResend       = 500 * time.Millisecond  // of a member whose disk is in trouble
	troubleForget       = 2 * time.Second         // such news are believed for
	fitAfter            = time.Second             // a disk works this long before it counts as well
	rewriteRetry        = time.Second             // after a failed write
	followerForget      = 3 * time.Second         // learner feed to one that said nothing
	impairedShare       = 8                       // of AckBound: a write out for longer is trouble
	stuckShare          = 4                       // of AckBound: an entry or heartbeat not through for longer is trouble
	rewriteBytes        = 8 << 20                 // a log longer than this is rewritten
	rewriteFactor       = 4                       // or one longer than this times the snapshot, see Retention
)
