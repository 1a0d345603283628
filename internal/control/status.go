package control

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/chain"
	"wallflow/internal/httpapi"
	"wallflow/internal/operator"
	"wallflow/internal/registry"
	"wallflow/internal/swim"
)

// status handles GET /status with the state of this process and its view of the others. It is read-only and asks no other process.
func (p *Process) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	httpapi.AnswerJSON(w, http.StatusOK, p.describe(p.clock()))
}

func (p *Process) describe(now time.Time) operator.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	chainStatus := p.chain.Status()
	status := operator.Status{
		Node:        p.settings.Node,
		Identity:    string(chainStatus.Identity),
		Role:        string(chainStatus.Role),
		Fresh:       p.chain.Fresh(now),
		View:        describeView(p.chain.View()),
		Position:    chainStatus.Position,
		Committed:   chainStatus.Committed,
		DiskTooSlow: chainStatus.Impaired,
		WriteFailed: chainStatus.Failed,
		Members:     describeMembers(p.members.Members()),
		Services:    countServices(now, p.instances.Instances()),
		Subscribers: p.feed.Subscribers(),
	}
	state, _ := p.chain.Committed()
	if current, ok := state.(replicatedConfig); ok {
		status.Generation = current.state.Generation()
		status.Evacuated = current.state.Evacuated()
	}
	return status
}

// describeView lists the members of a view by name; a member of the chain that does not vote is listed by its identity.
func describeView(view chain.View) operator.View {
	described := operator.View{Epoch: view.Epoch}
	for _, voter := range view.Voters {
		described.Voters = append(described.Voters, voter.Name)
	}
	for _, identity := range view.Chain {
		name := string(identity)
		if voter, known := view.Voter(identity); known {
			name = voter.Name
		}
		described.Chain = append(described.Chain, name)
	}
	return described
}

func describeMembers(members []swim.Member) []operator.Member {
	described := make([]operator.Member, 0, len(members))
	for _, member := range members {
		described = append(described, operator.Member{
			Name:          member.Name,
			Role:          member.Meta.Role,
			Zone:          member.Meta.Zone,
			Region:        member.Meta.Region,
			Address:       member.Address,
			Status:        member.Status.String(),
			Serving:       member.Meta.Serving,
			ClientAddress: member.Meta.Front,
			APIAddress:    member.Meta.Control,
		})
	}
	slices.SortFunc(described, func(a, b operator.Member) int { return strings.Compare(a.Name, b.Name) })
	return described
}

// countServices counts endpoints by service and state, sorted by service.
func countServices(now time.Time, instances []registry.Instance) []operator.Service {
	counted := make(map[string]*operator.Service)
	for _, instance := range instances {
		service := counted[instance.Backend]
		if service == nil {
			service = &operator.Service{Name: instance.Backend}
			counted[instance.Backend] = service
		}
		countInstance(now, service, instance)
	}
	services := make([]operator.Service, 0, len(counted))
	for _, service := range counted {
		services = append(services, *service)
	}
	slices.SortFunc(services, func(a, b operator.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

func countInstance(now time.Time, service *operator.Service, instance registry.Instance) {
	switch instance.State {
	case registry.StateReady:
		service.Ready++
		if instance.Cold(now) {
			service.Cold++
		}
	case registry.StateDraining:
		service.Draining++
	case registry.StateSilent:
		service.Silent++
	case registry.StateGone:
		service.Gone++
	}
}
