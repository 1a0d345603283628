package registry

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Heartbeat is what an endpoint says of itself at regular times.
type Heartbeat struct {
	ID         string
	Backend    string
	Address    string
	Zone       string
	Generation string
	Slots      int
	State      State // ready or draining
	Warmup     time.Duration
	Seq        uint64
	Phase      string
	Models     []string
	Notice     bool          // it is taken away at short notice
	Remaining  time.Duration // with Notice: the time it has left
}

// HeartbeatError says why a heartbeat can't be taken.
type HeartbeatError struct {
	Field string // that is missing or wrong; empty: the body is no JSON object
	Cause error  // may be nil
}

// Error implements error.
func (e *HeartbeatError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("heartbeat can't be read: %v", e.Cause)
	}
	return fmt.Sprintf("heartbeat: field %q is missing or wrong", e.Field)
}

// Unwrap returns the cause.
func (e *HeartbeatError) Unwrap() error { return e.Cause }

// heartbeatBody is the body as it comes.
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

// ParseHeartbeat reads the body of a heartbeat of the instance id. Fields that it doesn't know are ignored.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	var raw heartbeatBody
	if err := json.Unmarshal(body, &raw); err != nil {
		return Heartbeat{}, trace.Wrap(&HeartbeatError{Cause: err})
	}
	state, known := parseState(raw.State)
	if field := missingField(id, raw, known); field != "" {
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
		Warmup:     milliseconds(raw.WarmupMs),
		Seq:        raw.Seq,
		Phase:      raw.Phase,
	}
	for _, model := range raw.Models {
		heartbeat.Models = append(heartbeat.Models, model.Name)
	}
	if raw.RemainingMs != nil {
		heartbeat.Notice = true
		heartbeat.Remaining = milliseconds(*raw.RemainingMs)
	}
	return heartbeat, nil
}

// missingField returns the name of the first field that must be there and isn't, or is wrong.
func missingField(id string, raw heartbeatBody, stateKnown bool) string {
	switch {
	case id == "":
		return "id"
	case raw.Backend == "":
		return "backend"
	case raw.Address == "":
		return "address"
	case raw.Zone == "":
		return "zone"
	case !stateKnown:
		return "state"
	}
	return ""
}

// parseState reads the state that an endpoint names; without a name it is ready.
func parseState(name string) (state State, known bool) {
	switch name {
	case "", string(StateReady):
		return StateReady, true
	case string(StateDraining):
		return StateDraining, true
	}
	return "", false
}

// longestSpan bounds the spans that endpoints name, so that no sum overflows.
const longestSpan = 24 * time.Hour

// milliseconds turns a number of milliseconds into a span of 0 up to longestSpan.
func milliseconds(count float64) time.Duration {
	longest := float64(longestSpan / time.Millisecond)
	return time.Duration(max(0, min(count, longest)) * float64(time.Millisecond))
}
