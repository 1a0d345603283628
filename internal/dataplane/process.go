// Package dataplane implements the relay process. It connects membership, the feed of configuration and endpoints, and the selector to
// the proxy that serves clients.
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

// tickInterval is the period of the timer that drives the state machines.
const tickInterval = 100 * time.Millisecond

// Process is a running relay.
type Process struct {
	settings        *settings.Settings
	log             *slog.Logger
	mesh            *transport.Mesh
	trafficReporter transport.Reporter
	pool            *upstream.Pool
	server          *proxy.Server

	// mu guards the state machines of the control traffic. Code that needs both locks takes mu before selectorLock.
	mu               sync.Mutex
	members          *swim.Node
	subscriber       *distribution.Subscriber
	homePublisher    *distribution.Publisher // feeds the other relays of the zone while this one is the home relay
	peers            peerView                // as last passed to the selector
	sources          []string                // addresses from which to receive the feed, in order of preference
	seenZones        map[string]bool         // zones in which a member has been alive at some time
	unreachableZones []string                // as last logged
	suspectedZones   map[string]bool         // zones of seenZones without a live member now
	ownership        ownership
	isolation        isolation
	isolatedRelays   int            // as last passed to the selector
	stopping         bool           // set by Stop
	loads            *workload.Node // the relays' reports of their requests at endpoints

	selectorLock   sync.Mutex
	selector       *selector.Selector
	zoneByInstance map[string]string // by instance ID; written under mu and selectorLock, read under either

	documentReader config.Reader                   // parses configurations; guarded by mu
	compiled       atomic.Pointer[config.Compiled] // the configuration in force; nil: none yet
	ready          atomic.Bool                     // announced to the other processes as serving
	relayCount     atomic.Int64                    // number of known relays in the whole system
	evacuations    evacuationTracker
}

// Start starts a relay and joins it to the system.
func Start(cfg *settings.Settings, log *slog.Logger, options Options) (*Process, error) {
	now := time.Now()
	seed := processSeed(cfg, now)
	p := &Process{settings: cfg, log: log, zoneByInstance: make(map[string]string), seenZones: make(map[string]bool),
		isolation: newIsolation(cfg)}
	disabled, err := selector.ParseMechanisms(options.Disabled)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(disabled) > 0 {
		log.Warn("selection mechanisms are disabled", "disabled", disabled)
	}
	p.pool = upstream.NewPool(upstream.Options{OnConnect: p.recordConnectTime})
	p.selector = selector.New(selector.Options{
		Zone:   cfg.Zone,
		Region: cfg.Region,
		Zones:  cfg.Zones,
		Random: rand.New(rand.NewPCG(seed, seed>>32)),
		Budget: budget.NewRetryBudget(budget.Options{
			Ratio:  cfg.Bounds.RetryRatio,
			Window: cfg.Bounds.RetryWindow(),
		}),
		WarmupOvershoot: cfg.Bounds.WarmupOvershoot,
		WarmupSlack:     cfg.Bounds.WarmupSlack,
		HasConnection:   p.pool.HasIdle,
		Disabled:        disabled,
	})
	p.members = swim.New(swim.Options{
		Self: swim.Member{
			Name:    cfg.Node,
			Address: cfg.InternalAddress(),
			Meta:    p.meta(false),
		},
		Seeds:        cfg.SeedInternalAddresses(),
		ContactBound: cfg.Bounds.Contact(),
		Random:       rand.New(rand.NewPCG(seed>>1, seed)),
	}, now)
	p.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{
		Self:       cfg.InternalAddress(),
		ApplyPatch: config.ApplyTrustedPatch,
	}, now)
	p.loads = workload.New(workload.Options{
		Self:               workload.Member{Address: cfg.InternalAddress(), Zone: cfg.Zone},
		Life:               seed,
		LinkBytesPerSecond: cfg.Limits.LinkBytes(),
	})
	p.homePublisher = distribution.NewPublisher(cfg.Node+now.Format(time.RFC3339Nano), now)
	p.server = proxy.New(p.serverOptions())
	mesh, err := transport.Listen(transport.Options{Address: cfg.InternalAddress(), Handler: p.receive, Logger: log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mesh = mesh
	p.trafficReporter = transport.Reporter{Mesh: mesh, Log: log}
	return p, nil
}

// processSeed returns a random seed that differs between processes and between runs of one process.
func processSeed(cfg *settings.Settings, now time.Time) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(cfg.Node)) // never returns an error
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
		BodyMemory:  int64(p.settings.Limits.MemoryMB) << 20 / bodyMemoryDivisor,
		GracePeriod: p.settings.Bounds.Grace(),
		MaxConns:    p.maxConnections,
		Log:         p.log,
	}
}

const (
	// usableConnectionFraction is the fraction of an endpoint's connection limit that all relays together may use.
	usableConnectionFraction = 0.9
	// minConnections is the number of connections that a relay may always open, however many relays there are: most relays use few
	// endpoints at a time.
	minConnections = 8
)

// maxConnections returns how many connections this relay may hold to one endpoint of a service.
func (p *Process) maxConnections(service *config.Backend) int {
	relays := max(1, p.relayCount.Load())
	return max(minConnections, int(usableConnectionFraction*float64(service.MaxConns))/int(relays))
}

// bodyMemoryDivisor divides the memory limit of the process to give the memory limit for request bodies.
const bodyMemoryDivisor = 4

// meta returns the metadata that membership announces for this process.
func (p *Process) meta(serving bool) swim.Meta {
	cfg := p.settings
	return swim.Meta{
		Class:     cfg.MachineClass,
		Role:      cfg.Role,
		Zone:      cfg.Zone,
		Region:    cfg.Region,
		Front:     cfg.Listen.Front,
		Ready:     cfg.Listen.Ready,
		Directory: cfg.Listen.Directory,
		Serving:   serving,
	}
}

// Run drives the state machines until the context is canceled.
func (p *Process) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.tick(now)
			p.trafficReporter.Tick(now)
		}
	}
}

// SetSeeds replaces the seeds of membership after a change of the settings.
func (p *Process) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetSeeds(seeds)
}

func (p *Process) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendMembership(p.members.Tick(now))
	p.updateSources(now)
	p.applyFeedOutput(now, p.subscriber.Tick(now))
	p.updatePeers(now)
	p.updateIsolation(now)
	p.homePublisher.SetFresh(p.subscriber.Fresh(now))
	p.homePublisher.SetComplete(p.subscriber.Complete())
	p.sendFeed(p.homePublisher.Tick(now).Sends)
	p.updateServing(now)
}

// Close announces to the other processes that this one leaves, and closes its connections.
func (p *Process) Close() {
	p.mu.Lock()
	p.sendMembership(p.members.Leave(time.Now()))
	p.mu.Unlock()
	p.mesh.Close()
}
