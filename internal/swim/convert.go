package swim

import (
	"hash/fnv"

	"wallflow/internal/swim/swimpb"
)

// maxIncarnation bounds what is believed of others, so that raising past it never wraps around.
const maxIncarnation = 1 << 62

// hashName returns the short form of a name.
func hashName(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// encodeMember returns the state of a member; the meta is left out unless the state needs it.
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

// report is what a message says of one member.
type report struct {
	Member
	hasMeta bool
	accuser string
}

// decodeState checks a state that came; false means that it is of no use.
func decodeState(state *swimpb.State) (report, bool) {
	if state.GetName() == "" || state.GetAddress() == "" {
		return report{}, false
	}
	if state.GetIncarnation() >= maxIncarnation || state.GetStatus() > swimpb.Status_STATUS_LEFT || state.GetStatus() < 0 {
		return report{}, false
	}
	decoded := report{hasMeta: state.Meta != nil, accuser: state.GetAccuser()}
	decoded.Name = state.GetName()
	decoded.Address = state.GetAddress()
	decoded.Incarnation = state.GetIncarnation()
	decoded.Status = Status(state.GetStatus())
	if state.Meta != nil {
		decoded.Meta = decodeMeta(state.Meta)
	}
	if decoded.Status == Alive && !decoded.hasMeta {
		return report{}, false
	}
	return decoded, true
}

func decodeMeta(meta *swimpb.Meta) Meta {
	return Meta{
		Class: meta.GetClass(), Role: meta.GetRole(), Zone: meta.GetZone(), Region: meta.GetRegion(),
		Front: meta.GetFront(), Ready: meta.GetReady(), Control: meta.GetControl(), Directory: meta.GetDirectory(),
		Serving: meta.GetServing(), Identity: meta.GetIdentity(), Labels: meta.GetLabels(),
	}
}
