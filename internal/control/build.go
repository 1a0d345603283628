package control

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"math/rand"
	randv2 "math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/chain"
	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/registry"
	"wallflow/internal/settings"
	"wallflow/internal/swim"
)

// newProcess returns a process without its state machines; build creates them.
func newProcess(cfg *settings.Settings, log *slog.Logger, clock func() time.Time, random *rand.Rand) *Process {
	p := &Process{
		settings:         cfg,
		log:              log,
		clock:            clock,
		knownChanges:     newKnownChanges(clock()),
		pendingAnswers:   make(map[uint64]chan chain.Answer),
		replicationWaits: newReplicationWaits(),
		feed:             distribution.NewPublisher(randomFeedID(random), clock()),
	}
	p.directory = p.newDirectory()
	return p
}

// randomFeedID returns a random identifier of this run of the process for the subscribers of its feed.
func randomFeedID(random *rand.Rand) string {
	const idBytes = 8
	id := make([]byte, idBytes)
	random.Read(id)
	return hex.EncodeToString(id)
}

// build creates the state machines from the records of the store. It returns the chain's initial output, which the caller applies once
// the network is available.
func (p *Process) build(store openedStore, random *rand.Rand) (chain.Output, error) {
	cfg, now := p.settings, p.clock()
	node, initial, err := chain.New(chain.Options{
		Self:              chain.Member{Name: cfg.Node, Address: cfg.InternalAddress(), Zone: cfg.Zone, Region: cfg.Region},
		Bootstrap:         cfg.Bootstrap && !store.discarded,
		Seeds:             cfg.SeedInternalAddresses(),
		TargetChainLength: cfg.Tolerate.Machines + 1,
		Initial:           replicatedConfig{config.EmptyState()},
		Decode:            decodeReplicatedConfig,
		AckBound:          cfg.Bounds.Ack(),
		Retention:         p.retention,
		Random:            random,
	}, store.records, now)
	if err != nil {
		return chain.Output{}, trace.Wrap(err)
	}
	p.chain = node
	p.members = swim.New(swim.Options{
		Self:         p.selfMember(node.Status().Identity),
		Seeds:        cfg.SeedInternalAddresses(),
		ContactBound: cfg.Bounds.Contact(),
		Random:       randv2.New(randv2.NewPCG(random.Uint64(), random.Uint64())),
	}, now)
	p.setSeeds(cfg.SeedInternalAddresses())
	p.instances = registry.NewTable(registry.Options{
		HeartbeatInterval: cfg.Heartbeat(),
		Self:              cfg.InternalAddress(),
		Zone:              cfg.Zone,
		RunID:             random.Uint64(),
		Durable:           true,
	}, now)
	p.instances.SetMajorityReachable(now, false) // until a majority has confirmed the epoch
	p.restoreDepartures(now, store.departures)
	return initial, nil
}

// applyInitialOutput applies the output that the chain produced when it was built.
func (p *Process) applyInitialOutput(initial chain.Output) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyChainOutput(initial)
	p.publishConfig(p.clock())
}

// selfMember returns what membership announces of this process.
func (p *Process) selfMember(identity chain.Identity) swim.Member {
	cfg := p.settings
	return swim.Member{
		Name:    cfg.Node,
		Address: cfg.InternalAddress(),
		Meta: swim.Meta{
			Class:     cfg.MachineClass,
			Role:      cfg.Role,
			Zone:      cfg.Zone,
			Region:    cfg.Region,
			Control:   cfg.Listen.Control,
			Directory: cfg.Listen.Directory,
			Serving:   true,
			Identity:  string(identity),
		},
	}
}

func randomBytes(count int) []byte {
	data := make([]byte, count)
	if _, err := crand.Read(data); err != nil {
		panic(err) // without random numbers identities are not unique
	}
	return data
}

func randomSeed() int64 {
	return int64(binary.LittleEndian.Uint64(randomBytes(8)) >> 1)
}
