package registry

import (
	"math"
	"time"

	"wallflow/internal/distribution/feedpb"
)

// ToWire encodes an instance. Times are encoded as durations relative to now, the time of sending.
func ToWire(now time.Time, instance Instance) *feedpb.Instance {
	message := &feedpb.Instance{
		Id:         instance.ID,
		Backend:    instance.Backend,
		Address:    instance.Address,
		Zone:       instance.Zone,
		Generation: instance.Generation,
		Slots:      uint32(max(0, instance.Slots)),
		State:      stateToWire(instance.State),
		Reported:   stateToWire(instance.Reported),
		Seq:        instance.Seq,
		ChangedSeq: instance.ChangedSeq,
		Phase:      instance.Phase,
		Models:     instance.Models,
	}
	if instance.Cold(now) {
		message.ColdMs = durationToWire(instance.ColdUntil.Sub(now))
	}
	if !instance.GoneAt.IsZero() {
		remaining := durationToWire(instance.GoneAt.Sub(now))
		message.GoneInMs = &remaining
	}
	return message
}

// FromWire decodes an instance that was received at the time now.
func FromWire(now time.Time, message *feedpb.Instance) Instance {
	instance := Instance{
		ID:         message.GetId(),
		Backend:    message.GetBackend(),
		Address:    message.GetAddress(),
		Zone:       message.GetZone(),
		Generation: message.GetGeneration(),
		Slots:      int(message.GetSlots()),
		State:      stateFromWire(message.GetState()),
		Reported:   stateFromWire(message.GetReported()),
		Seq:        message.GetSeq(),
		ChangedSeq: message.GetChangedSeq(),
		Phase:      message.GetPhase(),
		Models:     message.GetModels(),
	}
	if message.GetColdMs() > 0 {
		instance.ColdUntil = now.Add(durationFromWire(message.GetColdMs()))
	}
	if message.GoneInMs != nil {
		instance.GoneAt = now.Add(durationFromWire(message.GetGoneInMs()))
	}
	return instance
}

// durationToWire rounds a duration up to milliseconds and limits it to the range of uint32.
func durationToWire(span time.Duration) uint32 {
	count := (span + time.Millisecond - 1) / time.Millisecond
	return uint32(max(0, min(count, math.MaxUint32)))
}

func durationFromWire(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

func stateToWire(state State) feedpb.InstanceState {
	switch state {
	case StateDraining:
		return feedpb.InstanceState_INSTANCE_STATE_DRAINING
	case StateSilent:
		return feedpb.InstanceState_INSTANCE_STATE_SILENT
	case StateGone:
		return feedpb.InstanceState_INSTANCE_STATE_GONE
	default:
		return feedpb.InstanceState_INSTANCE_STATE_READY
	}
}

func stateFromWire(state feedpb.InstanceState) State {
	switch state {
	case feedpb.InstanceState_INSTANCE_STATE_DRAINING:
		return StateDraining
	case feedpb.InstanceState_INSTANCE_STATE_SILENT:
		return StateSilent
	case feedpb.InstanceState_INSTANCE_STATE_GONE:
		return StateGone
	default:
		return StateReady
	}
}
