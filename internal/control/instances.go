package control

import (
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/httpapi"
	"wallflow/internal/registry"
	"wallflow/internal/transport"
)

// replicationWaits holds the requests of leaving endpoints that wait until a majority of the control processes has the departure on disk.
// registry.Table.TakeCommitted defines when that is the case.
type replicationWaits struct {
	pending map[uint64]chan struct{} // by change ID
}

func newReplicationWaits() *replicationWaits {
	return &replicationWaits{pending: make(map[uint64]chan struct{})}
}

// add returns a channel that is closed once a majority has the change.
func (r *replicationWaits) add(id uint64) chan struct{} {
	done := make(chan struct{})
	r.pending[id] = done
	return done
}

// complete ends the waits for the changes that a majority has.
func (r *replicationWaits) complete(replicated []uint64) {
	for _, id := range replicated {
		if done := r.pending[id]; done != nil {
			delete(r.pending, id)
			close(done)
		}
	}
}

func (r *replicationWaits) remove(id uint64) { delete(r.pending, id) }

// heartbeat handles PUT /instances/:id. A refused heartbeat is recorded as well.
func (p *Process) heartbeat(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	body, err := readBody(w, r, maxHeartbeatBytes)
	if err != nil {
		refuseUnreadBody(w, err)
		return
	}
	heartbeat, err := registry.ParseHeartbeat(params.ByName("id"), body)
	if err != nil {
		httpapi.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	apply := func(now time.Time) registry.Change { return p.instances.Heartbeat(now, heartbeat) }
	if heartbeat.State == registry.StateReady && p.shouldRefuseHeartbeat(heartbeat.ID) {
		p.propagateChange(apply)
		httpapi.Refuse(w, http.StatusServiceUnavailable, "no contact with a majority of the control processes")
		return
	}
	p.acceptChange(w, apply)
}

// shouldRefuseHeartbeat reports whether a ready endpoint is to switch to another control process.
func (p *Process) shouldRefuseHeartbeat(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heartbeatGate.shouldRefuse(p.clock(), instance)
}

// leave handles DELETE /instances/:id.
func (p *Process) leave(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	id := params.ByName("id")
	if !registry.ValidID(id) {
		httpapi.Refuse(w, http.StatusBadRequest, fmt.Sprintf("%q is no ID of an instance", id))
		return
	}
	p.acceptChange(w, func(now time.Time) registry.Change { return p.instances.Leave(now, id) })
}

// acceptChange applies what an endpoint reports of itself, passes it on and acknowledges it. A departure is acknowledged only once a
// majority of the control processes has it on disk, so that it survives the loss of this process and a restart of all, and reaches the
// relays during a network partition.
func (p *Process) acceptChange(w http.ResponseWriter, apply func(now time.Time) registry.Change) {
	replicated, id := p.propagateChange(apply)
	if replicated != nil && !awaitReplication(replicated, replicationTimeout) {
		p.mu.Lock()
		p.replicationWaits.remove(id)
		p.mu.Unlock()
		httpapi.Refuse(w, http.StatusServiceUnavailable, "too few control processes have taken this yet")
		return
	}
	httpapi.AnswerBytes(w, http.StatusOK, []byte("{}"))
}

// propagateChange applies a change and passes it on to the subscribers of the feed and to the other control processes. The returned channel
// is closed once a majority has the change; nil: there is nothing to wait for.
func (p *Process) propagateChange(apply func(now time.Time) registry.Change) (replicated chan struct{}, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	change := apply(now)
	if change.Changed {
		p.sendFeed(p.feed.SetInstances(now, []registry.Instance{change.Instance}))
	}
	if !change.Changed && !change.NeedsReplication {
		return nil, 0
	}
	if !change.NeedsReplication {
		p.pendingChanges.add(change)
		return nil, 0
	}
	replica := p.instances.Replicate(now, change)
	if !replica.Committed {
		replicated = p.replicationWaits.add(replica.ID)
	}
	p.broadcast(replica.Message)
	p.saveDepartures(now)
	return replicated, replica.ID
}

func awaitReplication(replicated chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-replicated:
		return true
	case <-timer.C:
		return false
	}
}

// broadcast sends a message to the other control processes that are alive.
func (p *Process) broadcast(message *feedpb.RegistryMessage) {
	batch := p.network.Batch(transport.KindRegistry)
	for _, peer := range p.peers() {
		batch.Send(peer.Name, message)
	}
}

// peers returns the other control processes that membership considers alive.
func (p *Process) peers() []registry.Peer {
	ownAddress := p.settings.InternalAddress()
	var peers []registry.Peer
	for _, member := range p.aliveControl() {
		if member.Address != ownAddress {
			peers = append(peers, registry.Peer{Name: member.Address, Zone: member.Zone})
		}
	}
	return peers
}

// voterAddresses returns the internal addresses of the voters of the current view, a majority of which decides.
func (p *Process) voterAddresses() []string {
	var addresses []string
	for _, voter := range p.chain.View().Voters {
		addresses = append(addresses, voter.Address)
	}
	return addresses
}

// tickInstances drives the timers of the instance table.
func (p *Process) tickInstances(now time.Time) {
	p.instances.SetPeers(p.peers(), p.voterAddresses())
	if changes := p.pendingChanges.takeAll(); len(changes) > 0 {
		p.broadcast(p.instances.Replicate(now, changes...).Message)
	}
	output := p.instances.Tick(now)
	if output.Broadcast != nil {
		p.broadcast(output.Broadcast)
	}
	p.sendRegistry(output.Sends)
	if len(output.Changed) > 0 {
		p.sendFeed(p.feed.SetInstances(now, output.Changed))
	}
	p.feed.SetComplete(p.instances.Complete(now))
	p.replicationWaits.complete(p.instances.TakeCommitted())
	p.saveDepartures(now)
}

// sendRegistry sends messages about instances to other control processes.
func (p *Process) sendRegistry(sends []registry.Send) {
	for _, send := range sends {
		p.network.Send(send.To, transport.KindRegistry, send.Message)
	}
}

// receiveRegistry merges the instance states that another control process reports.
func (p *Process) receiveRegistry(now time.Time, from string, message *feedpb.RegistryMessage) {
	changed, reply := p.instances.Merge(now, message)
	if reply != nil {
		p.network.Send(from, transport.KindRegistry, reply)
	}
	if len(changed) > 0 {
		p.sendFeed(p.feed.SetInstances(now, changed))
	}
	p.replicationWaits.complete(p.instances.TakeCommitted())
	p.saveDepartures(now)
}
