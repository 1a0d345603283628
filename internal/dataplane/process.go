// Package dataplane is the relay process: it joins membership, the feed of configuration and endpoints, and the selector to the
// proxy that serves clients.
package dataplane

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/budget"
	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/proxy"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
	"wallflow/internal/settings"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
	"wallflow/internal/upstream"
	"wallflow/internal/workload"
)

// tickEvery is how often the cores are told the time.
const tickEvery = 100 * time.Millisecond

// Process is one relay.
type Process struct {
	settings *settings.Settings
	log      *slog.Logger
	mesh     *transport.Mesh
	traffic  transport.Reporter
	pool     *upstream.Pool
	server   *proxy.Server

	// mu guards the cores of the control traffic. It is taken before selectorLock where both are needed.
	mu         sync.Mutex
	members    *swim.Node
	subscriber *distribution.Subscriber
	home       *distribution.Publisher // feeds the other relays of a large zone
	peers      peerView                // as the selector was last told
	sources    []string
	seenZones  map[string]bool // zones in which a process was alive at some time
	darkZones  []string        // as logged last
	doubted    map[string]bool // of those, the ones in which none is now
	ownership  ownership
	leaving    bool
	loads      *workload.Node // what relays tell each other of their requests at endpoints

	selectorLock sync.Mutex
	selector     *selector.Selector
	zoneOf       map[string]string // zone by instance

	documents config.Reader // of the configurations; guarded by mu
	compiled  atomic.Pointer[config.Compiled]
	ready     atomic.Bool
	relays    atomic.Int64 // of the whole system, as far as is known
	zones     evacuationView
}

// Start joins a relay to the system.
func Start(set *settings.Settings, log *slog.Logger, options Options) (*Process, error) {
	now := time.Now()
	seed := processSeed(set, now)
	p := &Process{settings: set, log: log, zoneOf: make(map[string]string), seenZones: make(map[string]bool)}
	disabled, err := selector.ParseMechanisms(options.Disabled)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(disabled) > 0 {
		log.Warn("mechanisms of the decision are switched off", "disabled", disabled)
	}
	p.pool = upstream.NewPool(upstream.Options{OnConnect: p.connected})
	p.selector = selector.New(selector.Options{
		Zone:   set.Zone,
		Region: set.Region,
		Zones:  set.Zones,
		Random: rand.New(rand.NewPCG(seed, seed>>32)),
		Budget: budget.NewRetryBudget(budget.Options{
			Ratio:  set.Bounds.RetryRatio,
			Window: set.Bounds.RetryWindow(),
		}),
		WarmupOvershoot: set.Bounds.WarmupOvershoot,
		WarmupSlack:     set.Bounds.WarmupSlack,
		HasConnection:   p.pool.HasIdle,
		Disabled:        disabled,
	})
	p.members = swim.New(swim.Options{
		Self: swim.Member{
			Name:    set.Node,
			Address: set.InternalAddress(),
			Meta:    p.meta(false),
		},
		Seeds:        set.SeedInternalAddresses(),
		ContactBound: set.Bounds.Contact(),
		Random:       rand.New(rand.NewPCG(seed>>1, seed)),
	}, now)
	p.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{
		Self:       set.InternalAddress(),
		ApplyPatch: config.ApplyTrustedPatch,
	}, now)
	p.loads = workload.New(workload.Options{
		Self:               workload.Member{Address: set.InternalAddress(), Zone: set.Zone},
		Life:               seed,
		LinkBytesPerSecond: set.Limits.LinkBytes(),
	})
	p.home = distribution.NewPublisher(set.Node+now.Format(time.RFC3339Nano), now)
	p.server = proxy.New(p.serverOptions())
	mesh, err := transport.Listen(transport.Options{Address: set.InternalAddress(), Handler: p.receive, Logger: log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mesh = mesh
	p.traffic = transport.Reporter{Mesh: mesh, Log: log}
	return p, nil
}

// processSeed differs between processes and between lives of one process.
func processSeed(set *settings.Settings, now time.Time) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(set.Node)) // a hash takes everything
	return hash.Sum64() ^ uint64(now.UnixNano()) ^ uint64(os.Getpid())<<40
}

func (p *Process) serverOptions() proxy.Options {
	return proxy.Options{
		Config:      p.compiled.Load,
		Chooser:     p.selector,
		Lock:        &p.selectorLock,
		Pool:        p.pool,
		IsReady:     p.ready.Load,
		IsLocal:     func(instance *registry.Instance) bool { return p.settings.Zones[instance.Zone] == p.settings.Region },
		BodyMemory:  int64(p.settings.Limits.MemoryMB) << 20 / bodyShare,
		GracePeriod: p.settings.Bounds.Grace(),
		MaxConns:    p.connectionShare,
		Log:         p.log,
	}
}

const (
	// connectionPart is the part of an endpoint's connections that the relays use together.
	connectionPart = 0.9
	// connectionsLeast is what a relay may open however many relays there are: most use few endpoints at a time.
	connectionsLeast = 8
)

// connectionShare is how many connections to an endpoint this relay may hold.
func (p *Process) connectionShare(service *config.Backend) int {
	relays := max(1, p.relays.Load())
	return max(connectionsLeast, int(connectionPart*float64(service.MaxConns))/int(relays))
}

// bodyShare is the divisor of the memory limit that gives the memory for bodies of requests.
const bodyShare = 4

// meta is what the other processes are told of this one.
func (p *Process) meta(serving bool) swim.Meta {
	set := p.settings
	return swim.Meta{
		Class:     set.MachineClass,
		Role:      set.Role,
		Zone:      set.Zone,
		Region:    set.Region,
		Front:     set.Listen.Front,
		Ready:     set.Listen.Ready,
		Directory: set.Listen.Directory,
		Serving:   serving,
	}
}

// Run drives the timers until the context ends.
func (p *Process) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.tick(now)
			p.traffic.Tick(now)
		}
	}
}

// SetSeeds takes on other seeds, from changed settings.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetSeeds(seeds)
}

func (p *Process) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spread(p.members.Tick(now))
	p.takeSources(now)
	p.takeFeed(now, p.subscriber.Tick(now))
	p.takePeers(now)
	p.home.SetFresh(p.subscriber.Fresh(now))
	p.home.SetComplete(p.subscriber.Complete())
	p.deliver(p.home.Tick(now).Sends)
	p.announce(now)
}

// Close tells the others that the process is gone and ends its connections.
func (p *Process) Close() {
	p.mu.Lock()
	p.spread(p.members.Leave(time.Now()))
	p.mu.Unlock()
	p.mesh.Close()
}
