package registry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const completeBody = `{"backend":"quiz","address":"10.128.0.9:8080","zone":"hall-a","generation":"v1","slots":64,"state":"draining",
	"warmupMs":1500.5,"phase":"dual","models":[{"name":"m","generation":1,"loras":[]},{"name":"n"}],"seq":4,"remainingMs":800,
	"unheardOf":{"a":[1]}}`

func TestParseHeartbeatReadsEveryField(t *testing.T) {
	heartbeat, err := ParseHeartbeat("i-1", []byte(completeBody))
	assert.NilError(t, err)
	assert.DeepEqual(t, heartbeat, Heartbeat{
		ID:         "i-1",
		Backend:    "quiz",
		Address:    "10.128.0.9:8080",
		Zone:       "hall-a",
		Generation: "v1",
		Slots:      64,
		State:      StateDraining,
		Warmup:     1500500 * time.Microsecond,
		Seq:        4,
		Phase:      "dual",
		Models:     []string{"m", "n"},
		Notice:     true,
		Remaining:  800 * time.Millisecond,
	})
}

func TestParseHeartbeatRejectsInvalidFields(t *testing.T) {
	cases := []struct {
		name, id, body, field string
	}{
		{"no id", "", `{"backend":"b","address":"a:1","zone":"z"}`, "id"},
		{"no service", "i", `{"address":"a:1","zone":"z"}`, "backend"},
		{"no address", "i", `{"backend":"b","zone":"z"}`, "address"},
		{"no zone", "i", `{"backend":"b","address":"a:1"}`, "zone"},
		{"strange state", "i", `{"backend":"b","address":"a:1","zone":"z","state":"odd"}`, "state"},
		{"no JSON", "i", `{`, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseHeartbeat(test.id, []byte(test.body))
			var wrong *HeartbeatError
			assert.Assert(t, errors.As(err, &wrong))
			assert.Equal(t, wrong.Field, test.field)
			assert.Assert(t, wrong.Error() != "")
		})
	}
}

func TestParseHeartbeatBoundsSpans(t *testing.T) {
	heartbeat, err := ParseHeartbeat("i", []byte(`{"backend":"b","address":"a:1","zone":"z","warmupMs":1e300,"remainingMs":-5}`))
	assert.NilError(t, err)
	assert.Equal(t, heartbeat.Warmup, maxHeartbeatDuration)
	assert.Equal(t, heartbeat.Remaining, time.Duration(0))
	assert.Equal(t, heartbeat.State, StateReady)
}

func ExampleParseHeartbeat() {
	heartbeat, err := ParseHeartbeat("i-7f3a91c2", []byte(`{"backend":"quiz","address":"10.128.0.9:8080","zone":"hall-a","seq":4}`))
	fmt.Println(heartbeat.Backend, heartbeat.Address, heartbeat.State, heartbeat.Seq, err)
	// Output: quiz 10.128.0.9:8080 ready 4 <nil>
}
