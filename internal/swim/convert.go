package swim

import (
	"hash/fnv"

	"wallflow/internal/swim/swimpb"
)

// maxIncarnation bounds the incarnations accepted from other processes, so that a process that raises its own above a
// received one cannot overflow.
const maxIncarnation = 1 << 62

// hashName returns the 32-bit hash that identifies a name in messages.
func hashName(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// encodeMember returns the wire form of the state of a member. It includes the meta only if withMeta is set.
func encodeMember(member Member, accuser string, withMeta bool) *swimpb.State {
	state := &swimpb.State{
		Name:        member.Name,
		Address:     member.Address,
		Incarnation: member.Incarnation,
		Status:      swimpb.Status(member.Status),
		Accuser:     accuser,
	}
	if withMeta {
		state.Meta = encodeMeta(member.Meta)
	}
	return state
}

func encodeMeta(meta Meta) *swimpb.Meta {
	return &swimpb.Meta{
		Class: meta.Class, Role: meta.Role, Zone: meta.Zone, Region: meta.Region,
		Front: meta.Front, Ready: meta.Ready, Control: meta.Control, Directory: meta.Directory,
		Serving: meta.Serving, Identity: meta.Identity, Labels: meta.Labels,
	}
}

// report is the state of a member as a message reports it.
type report struct {
	Member
	hasMeta bool
	accuser string
}

// decodeState decodes and validates a received state. It returns false if the state is invalid.
func decodeState(state *swimpb.State) (report, bool) {
	if state.GetName() == "" || state.GetAddress() == "" {
		return report{}, false
	}
	if state.GetIncarnation() >= maxIncarnation || state.GetStatus() > swimpb.Status_STATUS_LEFT || state.GetStatus() < 0 {
		return report{}, false
	}
	reported := report{hasMeta: state.Meta != nil, accuser: state.GetAccuser()}
	reported.Name = state.GetName()
	reported.Address = state.GetAddress()
	reported.Incarnation = state.GetIncarnation()
	reported.Status = Status(state.GetStatus())
	if state.Meta != nil {
		reported.Meta = decodeMeta(state.Meta)
	}
	if reported.Status == Alive && !reported.hasMeta {
		return report{}, false
	}
	return reported, true
}

func decodeMeta(meta *swimpb.Meta) Meta {
	return Meta{
		Class: meta.GetClass(), Role: meta.GetRole(), Zone: meta.GetZone(), Region: meta.GetRegion(),
		Front: meta.GetFront(), Ready: meta.GetReady(), Control: meta.GetControl(), Directory: meta.GetDirectory(),
		Serving: meta.GetServing(), Identity: meta.GetIdentity(), Labels: meta.GetLabels(),
	}
}
