package control

import (
	"context"
	"log/slog"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/chain"
	"wallflow/internal/directory"
	"wallflow/internal/distribution"
	"wallflow/internal/registry"
	"wallflow/internal/settings"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// Process is a running control process. Its state machines are driven under one lock and do no I/O themselves: this package sends,
// writes and answers what they produce.
type Process struct {
	settings  *settings.Settings
	log       *slog.Logger
	clock     func() time.Time
	network   network
	disk      disk
	directory *directory.Directory

	// Only set in a real process, not in a simulated one:
	mesh            *transport.Mesh
	trafficReporter transport.Reporter
	writer          *writer // of the chain's log
	departureWriter *writer

	knownChanges *knownChanges

	mu        sync.Mutex
	chain     *chain.Node             // replicates the configuration
	members   *swim.Node              // membership: which processes are alive
	instances *registry.Table         // states of the endpoint instances
	feed      *distribution.Publisher // sends configuration and instances to the relays

	retention        chain.Retention              // the zero value except in tests
	seeds            []string                     // from the newest settings
	seedsEpoch       uint64                       // epoch of the view whose voters were last passed to membership as seeds
	pendingAnswers   map[uint64]chan chain.Answer // by request number
	nextRequest      uint64
	published        published // the state last passed to the feed
	replicationWaits *replicationWaits
	pendingChanges   pendingChanges
	heartbeatGate    heartbeatGate
	restorationTimes restorationTimes
	departures       departureLog
}

// Start opens the store of a control process, starts the process and joins it to the system. Close ends it.
func Start(cfg *settings.Settings, log *slog.Logger) (*Process, error) {
	store, err := openStore(cfg.DataDir, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	random := rand.New(rand.NewSource(randomSeed()))
	p := newProcess(cfg, log, time.Now, random)
	p.writer = newWriter(store.file, p.writeDone)
	p.disk = p.writer
	p.departureWriter = newWriter(store.departuresFile, p.departuresWritten)
	p.departures.disk = p.departureWriter
	initial, err := p.build(store, random)
	if err != nil {
		p.closeWriters()
		return nil, trace.Wrap(err)
	}
	if err := p.listen(); err != nil {
		p.closeWriters()
		return nil, trace.Wrap(err)
	}
	p.applyInitialOutput(initial)
	return p, nil
}

// listen opens the process's sockets. It holds the lock, so that messages that arrive meanwhile wait until the network is set.
func (p *Process) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	mesh, err := transport.Listen(transport.Options{Address: p.settings.InternalAddress(), Handler: p.receive, Logger: p.log})
	if err != nil {
		return trace.Wrap(err)
	}
	p.mesh = mesh
	p.network = meshNetwork{mesh}
	p.trafficReporter = transport.Reporter{Mesh: mesh, Log: p.log}
	return nil
}

// Run drives the state machines until the context is canceled.
func (p *Process) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastRecorded time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.tick(now)
			p.trafficReporter.Tick(now)
			if now.Sub(lastRecorded) >= directoryRecordInterval {
				lastRecorded = now
				p.directory.RecordMembers()
			}
		}
	}
}

// Retire makes the process leave the chain, and returns once it has left or after retireTimeout. The process keeps serving meanwhile.
// Without it, a change would wait until the others consider this process dead, and each change would have one replica fewer.
func (p *Process) Retire() {
	p.mu.Lock()
	p.applyChainOutput(p.chain.Leave(p.clock()))
	p.mu.Unlock()
	deadline := time.Now().Add(retireTimeout)
	for p.inChain() && time.Now().Before(deadline) {
		time.Sleep(retirePollInterval)
	}
}

func (p *Process) inChain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.InChain()
}

// Close announces to the other processes that this one leaves, stops the writer and closes the connections.
func (p *Process) Close() {
	p.mu.Lock()
	p.sendMembership(p.members.Leave(p.clock()))
	p.mu.Unlock()
	p.closeWriters()
	p.mesh.Close()
}

// closeWriters stops the writers, which close their files.
func (p *Process) closeWriters() {
	p.writer.close()
	p.departureWriter.close()
}

// SetSeeds replaces the seeds of membership after a change of the settings.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setSeeds(seeds)
}

// setSeeds makes membership join through the seeds of the settings and through the voters of the current view. A restarted process knows
// the voters from its store, and so finds the others even if all seeds are down or name only the process itself.
func (p *Process) setSeeds(seeds []string) {
	p.seeds = seeds
	view := p.chain.View()
	p.seedsEpoch = view.Epoch
	addresses := slices.Clone(seeds)
	for _, voter := range view.Voters {
		if !slices.Contains(addresses, voter.Address) {
			addresses = append(addresses, voter.Address)
		}
	}
	p.members.SetSeeds(addresses)
}

func (p *Process) tick(now time.Time) {
	p.knownChanges.tick(p.clock()) // now is when the tick was due, which may be long ago
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chain.View().Epoch != p.seedsEpoch {
		p.setSeeds(p.seeds)
	}
	p.sendMembership(p.members.Tick(now))
	p.applyChainOutput(p.chain.SetAlive(now, p.aliveControl()))
	p.applyChainOutput(p.chain.Tick(now))
	fresh := p.chain.Fresh(now)
	p.instances.SetMajorityReachable(now, fresh)
	p.heartbeatGate.setQuorum(now, fresh)
	p.tickInstances(now)
	p.feed.SetFresh(fresh)
	p.publishConfig(now)
	p.sendFeed(p.feed.Tick(now))
}

// aliveControl returns the control processes that membership considers alive, suspected ones included.
func (p *Process) aliveControl() []chain.Member {
	var alive []chain.Member
	for _, member := range p.members.Members() {
		if member.Meta.Identity == "" || member.Status != swim.Alive && member.Status != swim.Suspect {
			continue
		}
		alive = append(alive, chain.Member{
			Identity: chain.Identity(member.Meta.Identity),
			Name:     member.Name,
			Address:  member.Address,
			Zone:     member.Meta.Zone,
			Region:   member.Meta.Region,
		})
	}
	return alive
}
