package registry

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// Heartbeat is the periodic report of an endpoint about itself.
type Heartbeat struct {
	ID         string
	Backend    string
	Address    string
	Zone       string
	Generation string
	Slots      int
	State      State         // ready or draining
	Warmup     time.Duration // remaining time until the endpoint is warm
	Seq        uint64        // number of the heartbeat, increasing
	Phase      string
	Models     []string
	Notice     bool          // the endpoint was told that it will be terminated soon
	Remaining  time.Duration // with Notice: time until the termination
}

// HeartbeatError describes why the body of a heartbeat is invalid.
type HeartbeatError struct {
	Field string // name of the missing or invalid field; empty if the body is not a JSON object
	Cause error  // may be nil
}

// Error implements error.
func (e *HeartbeatError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("heartbeat can't be read: %v", e.Cause)
	}
	return fmt.Sprintf("heartbeat: field %q is missing or wrong", e.Field)
}

// Unwrap returns the cause; it may be nil.
func (e *HeartbeatError) Unwrap() error { return e.Cause }

// heartbeatBody is the JSON body of a heartbeat.
type heartbeatBody struct {
	Backend     string           `json:"backend"`
	Address     string           `json:"address"`
	Zone        string           `json:"zone"`
	Generation  string           `json:"generation"`
	Slots       int              `json:"slots"`
	State       string           `json:"state"`
	WarmupMs    float64          `json:"warmupMs"`
	Seq         uint64           `json:"seq"`
	Phase       string           `json:"phase"`
	Models      []heartbeatModel `json:"models"`
	RemainingMs *float64         `json:"remainingMs"`
}

type heartbeatModel struct {
	Name string `json:"name"`
}

// ParseHeartbeat parses the body of a heartbeat of the instance with the given ID. Unknown fields are ignored.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	var raw heartbeatBody
	if err := json.Unmarshal(body, &raw); err != nil {
		return Heartbeat{}, trace.Wrap(&HeartbeatError{Cause: err})
	}
	state, stateValid := parseState(raw.State)
	if field := invalidField(id, raw, stateValid); field != "" {
		return Heartbeat{}, trace.Wrap(&HeartbeatError{Field: field})
	}
	heartbeat := Heartbeat{
		ID:         id,
		Backend:    raw.Backend,
		Address:    raw.Address,
		Zone:       raw.Zone,
		Generation: raw.Generation,
		Slots:      raw.Slots,
		State:      state,
		Warmup:     durationFromMillis(raw.WarmupMs),
		Seq:        raw.Seq,
		Phase:      raw.Phase,
	}
	for _, model := range raw.Models {
		heartbeat.Models = append(heartbeat.Models, model.Name)
	}
	if raw.RemainingMs != nil {
		heartbeat.Notice = true
		heartbeat.Remaining = durationFromMillis(*raw.RemainingMs)
	}
	return heartbeat, nil
}

// ValidID reports whether a text can be the ID of an instance. One that is not UTF-8 can neither be sent to other processes nor be saved.
func ValidID(id string) bool { return id != "" && utf8.ValidString(id) }

// invalidField returns the name of the first required field that is missing or invalid, or "" if there is none.
func invalidField(id string, raw heartbeatBody, stateValid bool) string {
	switch {
	case !ValidID(id):
		return "id"
	case raw.Backend == "":
		return "backend"
	case raw.Address == "":
		return "address"
	case raw.Zone == "":
		return "zone"
	case !stateValid:
		return "state"
	}
	return ""
}

// parseState parses the state field. An empty one means ready.
func parseState(name string) (state State, valid bool) {
	switch name {
	case "", string(StateReady):
		return StateReady, true
	case string(StateDraining):
		return StateDraining, true
	}
	return "", false
}

// maxHeartbeatDuration bounds the durations in heartbeats, so that adding them to a time cannot overflow.
const maxHeartbeatDuration = 24 * time.Hour

// durationFromMillis converts a number of milliseconds to a duration between 0 and maxHeartbeatDuration.
func durationFromMillis(count float64) time.Duration {
	maxCount := float64(maxHeartbeatDuration / time.Millisecond)
	return time.Duration(max(0, min(count, maxCount)) * float64(time.Millisecond))
}
