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

// newProcess makes a process without cores.
func newProcess(set *settings.Settings, log *slog.Logger, clock func() time.Time, random *rand.Rand) *Process {
	p := &Process{
		settings: set,
		log:      log,
		clock:    clock,
		answers:  make(map[uint64]chan chain.Answer),
		replicas: newReplicationWaits(),
		feed:     distribution.NewPublisher(feedLife(random), clock()),
	}
	p.directory = p.newDirectory()
	return p
}

// feedLife is a random name of this life of the process.
func feedLife(random *rand.Rand) string {
	const nameBytes = 8
	name := make([]byte, nameBytes)
	random.Read(name)
	return hex.EncodeToString(name)
}

// build makes the cores from the records of the store. What the chain wants done first is returned.
func (p *Process) build(store openedStore, random *rand.Rand) (chain.Output, error) {
	set, now := p.settings, p.clock()
	node, first, err := chain.New(chain.Options{
		Self:         chain.Member{Name: set.Node, Address: set.InternalAddress(), Zone: set.Zone, Region: set.Region},
		Bootstrap:    set.Bootstrap && !store.discarded,
		Seeds:        set.SeedInternalAddresses(),
		MinimumChain: set.Tolerate.Machines + 1,
		Initial:      replicated{config.EmptyState()},
		Decode:       decodeReplicated,
		AckBound:     set.Bounds.Ack(),
		Retention:    p.retention,
		Random:       random,
	}, store.records, now)
	if err != nil {
		return chain.Output{}, trace.Wrap(err)
	}
	p.chain = node
	p.members = swim.New(swim.Options{
		Self:         p.selfMember(node.Status().Identity),
		Seeds:        set.SeedInternalAddresses(),
		ContactBound: set.Bounds.Contact(),
		Random:       randv2.New(randv2.NewPCG(random.Uint64(), random.Uint64())),
	}, now)
	p.setSeeds(set.SeedInternalAddresses())
	p.instances = registry.NewTable(registry.Options{
		HeartbeatInterval: set.Heartbeat(),
		Self:              set.InternalAddress(),
		Zone:              set.Zone,
		Life:              random.Uint64(),
	}, now)
	p.instances.SetInTouch(now, false) // until a majority is
	return first, nil
}

// begin carries out what the chain wants done first.
func (p *Process) begin(first chain.Output) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(first)
	p.publish(p.clock())
}

// selfMember is what the other processes are told of this one.
func (p *Process) selfMember(identity chain.Identity) swim.Member {
	set := p.settings
	return swim.Member{
		Name:    set.Node,
		Address: set.InternalAddress(),
		Meta: swim.Meta{
			Class:     set.MachineClass,
			Role:      set.Role,
			Zone:      set.Zone,
			Region:    set.Region,
			Control:   set.Listen.Control,
			Directory: set.Listen.Directory,
			Serving:   true,
			Identity:  string(identity),
		},
	}
}

func randomBytes(count int) []byte {
	data := make([]byte, count)
	if _, err := crand.Read(data); err != nil {
		panic(err) // the system has no random numbers: nothing can be trusted
	}
	return data
}

func randomSeed() int64 {
	return int64(binary.LittleEndian.Uint64(randomBytes(8)) >> 1)
}
