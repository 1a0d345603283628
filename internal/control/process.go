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

// Process is one control process. Its cores are driven under one lock; what they want sent, written and answered is carried out
// by the functions of this package.
type Process struct {
	settings  *settings.Settings
	log       *slog.Logger
	clock     func() time.Time
	network   network
	disk      disk
	directory *directory.Directory

	// Of a process in service, not of a simulated one:
	mesh    *transport.Mesh
	traffic transport.Reporter
	writer  *writer

	mu        sync.Mutex
	chain     *chain.Node
	members   *swim.Node
	instances *registry.Table
	feed      *distribution.Publisher

	retention   chain.Retention              // the zero value in service
	seeds       []string                     // of the newest settings
	seedsOf     uint64                       // epoch of the view whose voters membership was last told
	answers     map[uint64]chan chain.Answer // by request
	nextRequest uint64
	published   published // what the feed has
	replicas    *replicationWaits
	gathered    gatheredChanges
	heartbeats  heartbeatGate
	restored    restorations
}

// Start opens the store of a control process and joins it to the system. Close ends it.
func Start(set *settings.Settings, log *slog.Logger) (*Process, error) {
	store, err := openStore(set.DataDir, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	random := rand.New(rand.NewSource(randomSeed()))
	p := newProcess(set, log, time.Now, random)
	p.writer = newWriter(store.file, p.written)
	p.disk = p.writer
	first, err := p.build(store, random)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.listen(); err != nil {
		return nil, trace.Wrap(err)
	}
	p.begin(first)
	return p, nil
}

// listen joins the process to the network. Messages that come meanwhile wait for the lock.
func (p *Process) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	mesh, err := transport.Listen(transport.Options{Address: p.settings.InternalAddress(), Handler: p.receive, Logger: p.log})
	if err != nil {
		return trace.Wrap(err)
	}
	p.mesh = mesh
	p.network = meshNetwork{mesh}
	p.traffic = transport.Reporter{Mesh: mesh, Log: p.log}
	return nil
}

// Run drives the timers until the context ends.
func (p *Process) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var noted time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.tick(now)
			p.traffic.Tick(now)
			if now.Sub(noted) >= noteEvery {
				noted = now
				p.directory.Note()
			}
		}
	}
}

// Retire has the process leave the chain, and returns once it has or after a while. It serves on meanwhile. Without it a change would
// wait until the others hold this process for dead, and what it holds would be held by one fewer.
func (p *Process) Retire() {
	p.mu.Lock()
	p.carryOut(p.chain.Leave(p.clock()))
	p.mu.Unlock()
	deadline := time.Now().Add(retireWithin)
	for p.inChain() && time.Now().Before(deadline) {
		time.Sleep(retireLook)
	}
}

func (p *Process) inChain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chain.InChain()
}

// Close tells the others that the process leaves and ends its connections.
func (p *Process) Close() {
	p.mu.Lock()
	p.spread(p.members.Leave(p.clock()))
	p.mu.Unlock()
	p.writer.close()
	p.mesh.Close()
}

// SetSeeds takes on other seeds, from changed settings.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setSeeds(seeds)
}

// setSeeds has membership join through the seeds of the settings, and through the voters: a process that starts again finds them by its
// store where all seeds are down, or name it alone.
func (p *Process) setSeeds(seeds []string) {
	p.seeds = seeds
	view := p.chain.View()
	p.seedsOf = view.Epoch
	joined := slices.Clone(seeds)
	for _, voter := range view.Voters {
		if !slices.Contains(joined, voter.Address) {
			joined = append(joined, voter.Address)
		}
	}
	p.members.SetSeeds(joined)
}

func (p *Process) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chain.View().Epoch != p.seedsOf {
		p.setSeeds(p.seeds)
	}
	p.spread(p.members.Tick(now))
	p.carryOut(p.chain.Liveness(now, p.aliveControl()))
	p.carryOut(p.chain.Tick(now))
	fresh := p.chain.Fresh(now)
	p.instances.SetInTouch(now, fresh)
	p.heartbeats.setInTouch(now, fresh)
	p.tickInstances(now)
	p.feed.SetFresh(fresh)
	p.publish(now)
	p.deliver(p.feed.Tick(now))
}

// aliveControl lists the control processes that membership holds alive.
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
