package control

import (
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/logfile"
	"wallflow/internal/registry"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// newDamagedStore returns a directory with a store in which a synced byte has been changed.
func newDamagedStore(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	file, _, _, err := logfile.Open(directory, logfile.Limits{})
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, file.Append([]logfile.Record{{Type: 1, Payload: []byte("something that was synced")}}))
	}
	assert.NilError(t, file.Close())
	files, err := filepath.Glob(filepath.Join(directory, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	data, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	data[len(data)/2] ^= 0xFF
	assert.NilError(t, os.WriteFile(files[0], data, 0o600))
	return directory
}

// A damaged store is discarded, and openStore reports it, since the votes in it are lost.
func TestDamagedStoreIsDiscarded(t *testing.T) {
	store, err := openStore(newDamagedStore(t), discardLog)
	assert.NilError(t, err)
	assert.Assert(t, store.discarded)
	assert.Equal(t, len(store.records), 0)
	assert.NilError(t, store.file.Append([]logfile.Record{{Type: 1, Payload: []byte("new")}}))
}

// A process whose store was discarded must not bootstrap a new system, even when it is configured to: it may have voted before.
func TestProcessWithADiscardedStoreDoesNotBootstrap(t *testing.T) {
	for _, discarded := range []bool{false, true} {
		sim := newSimulation(t, 1, simulationOptions{controls: 1, zones: 1, relays: 1, endpoints: 1, tolerated: 0})
		c := sim.controls[0]
		cfg := sim.settingsOf(c.machine, true)
		random := rand.New(rand.NewSource(1))
		c.file, _, _, _ = logfile.OpenOn(c.disk, storeFolder, logfile.Limits{})
		c.up, c.incarnation = true, 1
		c.process = newProcess(cfg, discardLog, func() time.Time { return sim.now }, random)
		c.process.network, c.process.disk, c.handler = simulatedNetwork{sim, c.machine, 1}, c, c.process.receive
		initial, err := c.process.build(openedStore{file: c.file, discarded: discarded}, random)
		assert.NilError(t, err)
		c.process.applyInitialOutput(initial)
		c.tick(1)
		sim.advance(10 * time.Second)
		assert.Equal(t, c.process.chain.View().Epoch > 0, !discarded)
	}
}

// newSettledSimulation returns a simulated control plane that has run without faults for a while.
func newSettledSimulation(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(t, 3, simulationOptions{controls: 5, zones: 3, relays: 3, endpoints: 6, tolerated: 1})
	sim.advance(12 * time.Second)
	assert.Equal(t, len(sim.violations), 0)
	return sim
}

// An isolated process receives no heartbeats, and must not mark endpoints silent or gone for that.
func TestNoEndpointExpiresAtAnIsolatedProcess(t *testing.T) {
	sim := newSettledSimulation(t)
	c := sim.controls[4]
	sim.isolate(c.machine, true, true, anyMachine)
	for _, e := range sim.endpoints {
		e.control = sim.controls[0]
	}
	sim.advance(20 * time.Second)
	for _, instance := range c.process.instances.Instances() {
		assert.Equal(t, instance.State, registry.StateReady, instance.ID)
	}
	assert.Equal(t, len(c.process.instances.Instances()), len(sim.endpoints))
	assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
}

// A process that cannot reach the others must answer a departure with 503, so that the endpoint tries another control process.
func TestIsolatedProcessDoesNotAcknowledgeADeparture(t *testing.T) {
	sim := newSettledSimulation(t)
	c := sim.controls[4]
	sim.isolate(c.machine, true, true, sim.isControl)
	for method, body := range map[string]string{
		http.MethodPut:    `{"backend":"b","address":"10.9.0.77:80","zone":"zone-0","slots":4,"state":"draining","seq":9}`,
		http.MethodDelete: "",
	} {
		recorder := httptest.NewRecorder()
		c.process.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(method, "/instances/leaves", strings.NewReader(body)))
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
		assert.Assert(t, recorder.Header().Get("Retry-After") != "")
	}
	recorder := httptest.NewRecorder()
	ready := `{"backend":"b","address":"10.9.0.78:80","zone":"zone-0","slots":4,"state":"ready","seq":1}`
	c.process.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/instances/new", strings.NewReader(ready)))
	assert.Equal(t, recorder.Code, http.StatusOK) // a heartbeat is acknowledged without replication
}
