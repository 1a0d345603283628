package chain

import (
	"math/rand"
	"time"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/logfile"
)

// Identity identifies a store. It is random and is written with the first sync of the store, so a wiped disk gets a new
// identity.
type Identity string

// Member is a process that stores the replicated state or may come to do so. Address is its internal "ip:port".
type Member struct {
	Identity Identity
	Name     string
	Address  string
	Zone     string
	Region   string
}

// View lists the voters that decide the next view, and the voters that form the chain. Chain[0] is the head and the
// last element is the tail.
type View struct {
	Epoch  uint64
	Voters []Member
	Chain  []Identity
}

// State is an immutable value of the replicated state machine. Apply depends on nothing but the state and the command,
// and returns the unchanged state if it rejects the command.
type State interface {
	Apply(command []byte) (State, Reply)
	Encode() []byte
}

// Reply is the result of applying a command.
type Reply struct {
	Accepted bool
	Status   int
	Body     []byte
	Revision uint64 // a number that the State gives to the result; the chain passes it on
}

// Decoder decodes the result of State.Encode.
type Decoder func([]byte) (State, error)

// Record is one record of the log file.
type Record = logfile.Record

// Options configure a node.
type Options struct {
	Self              Member        // Identity is ignored, since it comes from the store
	Bootstrap         bool          // true only at the first start of the whole system
	Seeds             []string      // internal addresses of the processes that decide the first view
	TargetChainLength int           // desired chain length: the number of simultaneous losses to tolerate, plus one
	Initial           State         // state before the first command
	Decode            Decoder       // decodes an encoded state
	AckBound          time.Duration // limit for answering a submitted command; disk and chain timeouts derive from it
	Random            *rand.Rand    // source of identities, ballot nonces and backoff
	Retention         Retention     // how much history is kept beside the state
}

// Output lists what the owner of a node has to do after a call. Sends may be lost. Writes have to be executed in order,
// and the end of each is reported by Node.Written.
type Output struct {
	Sends            []Send
	Writes           []Write
	Answers          []Answer
	CommittedChanged bool     // the committed state changed
	Logs             []string // log lines
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *chainpb.Message
}

// Write requests that records be written and synced. They are appended to the log file or, if Rewrite is set, replace
// it.
type Write struct {
	Token   uint64 // to be passed to Node.Written
	Records []Record
	Rewrite bool
}

// Answer is the result of a request made by Node.Submit or Node.Read. If the outcome is not known, the command may have
// been applied or may still be. State is the result of a read.
type Answer struct {
	Request      uint64
	OutcomeKnown bool
	Reply        Reply
	State        State
}

// Role is the position of a node in its view.
type Role string

// Roles of a node.
const (
	RoleLearner Role = "learner" // not a voter
	RoleVoter   Role = "voter"   // outside the chain
	RoleMember  Role = "member"  // of the chain, neither head nor tail
	RoleHead    Role = "head"
	RoleTail    Role = "tail"
	RoleSingle  Role = "single" // head and tail of a chain of one
)

// Status reports the condition of a node for logs and metrics.
type Status struct {
	Identity       Identity
	Role           Role
	Epoch          uint64
	InstalledEpoch uint64 // epoch for which the log was last synchronized with the predecessor
	Position       uint64 // of the last log entry
	Committed      uint64 // position of the last entry known to be committed
	Promised       bool   // whether the node promised in the instance that decides the next epoch
	Impaired       bool   // whether the disk is too slow or failed, or the node is leaving
	Failed         bool   // whether the last write failed
	Counters       Counters
}

// Counters count events since the start of the node. Those named Broken count violated invariants and should stay 0.
type Counters struct {
	Proposals          uint64 // attempts to have a view decided
	ViewsDecided       uint64
	Snapshots          uint64 // snapshots sent
	Rewrites           uint64 // rewrites of the log file
	FailedWrites       uint64
	UnknownOutcomes    uint64 // local requests that timed out
	BrokenCommitOrder  uint64 // a snapshot would have moved the committed position back
	BrokenViewValue    uint64 // two different views were decided for one epoch
	BrokenCommitLog    uint64 // a committed entry would have been replaced
	BrokenChainMinimum uint64 // a decided view has a chain shorter than a majority of its voters
}

// Timeouts, intervals and limits of a node. The precision of the times is the interval between calls of Node.Tick.
const (
	requestTimeout               = 700 * time.Millisecond  // after which the outcome of a short command is unknown
	maxRequestTimeout            = 2300 * time.Millisecond // upper limit of the timeout of a long command
	minLinkRate                  = 128                     // bytes per millisecond assumed for transfers from end to end
	readRetryInterval            = 250 * time.Millisecond  // after which an unanswered read is sent again
	heartbeatInterval            = 300 * time.Millisecond  // between heartbeats, and between fetches of a process outside the chain
	confirmationValidity         = time.Second             // how long a confirmation of the epoch is valid, counted from its probe
	unconfirmedBeforeSupport     = 600 * time.Millisecond  // time without confirmation after which a voter supports a new view
	unconfirmedBeforeDownSupport = 2 * time.Second         // the same if membership reports the proposer as down
	syncRetryInterval            = 200 * time.Millisecond  // between requests for missing entries to the predecessor
	startupGracePeriod           = 700 * time.Millisecond  // after a start, during which no process counts as down
	bootstrapPromiseWait         = 1500 * time.Millisecond // from the start, for the remaining seeds to promise the first view
	attemptTimeout               = 900 * time.Millisecond  // of an attempt to have a view decided
	attemptResendInterval        = 250 * time.Millisecond  // between repetitions of the messages of an attempt
	promiseWait                  = 120 * time.Millisecond  // for further promises once a majority has promised
	rankBackoff                  = 150 * time.Millisecond  // delay per rank of a proposer
	maxRandomBackoff             = 100 * time.Millisecond  // upper limit of the random delay of a proposer
	supportBackoff               = 500 * time.Millisecond  // delay of the own proposal after supporting another one
	undecidedTimeout             = 500 * time.Millisecond  // after which a voter that promised proposes by itself
	joinRequestInterval          = 500 * time.Millisecond  // between join requests of a process that is not a voter
	noticeInterval               = 100 * time.Millisecond  // minimum between view notices to one process, and between fetches
	candidateProbation           = time.Second             // before a learner becomes a voter, and after a failed change of voters
	shortCandidateProbation      = 300 * time.Millisecond  // the same for a former voter, or at the address of a voter that is down
	candidateTimeout             = 2 * time.Second         // after which a silent learner is no longer a candidate
	voterDownTimeout             = 2 * time.Second         // before a voter that is down is replaced or removed
	epochSettleTime              = 400 * time.Millisecond  // of an epoch, before its head changes the voters
	troubleResendInterval        = 500 * time.Millisecond  // between trouble messages of an impaired node
	troubleTimeout               = 2 * time.Second         // after which a trouble message expires
	diskRecoveryTime             = time.Second             // a disk has to work for this long to count as healthy again
	rewriteRetryDelay            = time.Second             // after a failed write
	followerTimeout              = 3 * time.Second         // after which a silent follower is no longer fed
	lateWriteDivisor             = 8                       // a write in flight for longer than AckBound divided by this is late
	stuckDivisor                 = 4                       // the chain is stuck after AckBound divided by this without progress
	maxLogFileBytes              = 8 << 20                 // a longer log file is rewritten
	maxLogFileFactor             = 4                       // as is one longer than this times the encoded state, see Retention.MinRewriteBytes
)
