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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// damagedStore is a folder with a store of which a synced byte is another one.
func damagedStore(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	file, _, _, err := logfile.Open(folder, logfile.Limits{})
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, file.Append([]logfile.Record{{Type: 1, Payload: []byte("something that was synced")}}))
	}
	assert.NilError(t, file.Close())
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 1)
	data, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	data[len(data)/2] ^= 0xFF
	assert.NilError(t, os.WriteFile(files[0], data, 0o600))
	return folder
}

// A damaged store is thrown away, and the process knows that it was: it has lost its votes.
func TestDamagedStoreIsThrownAway(t *testing.T) {
	store, err := openStore(damagedStore(t), quiet)
	assert.NilError(t, err)
	assert.Assert(t, store.discarded)
	assert.Equal(t, len(store.records), 0)
	assert.NilError(t, store.file.Append([]logfile.Record{{Type: 1, Payload: []byte("new")}}))
}

// Even at the very first start of the system a process that lost its store founds none: it may have voted before.
func TestProcessThatLostItsStoreFoundsNothing(t *testing.T) {
	for _, discarded := range []bool{false, true} {
		w := newWorld(t, 1, worldOptions{controls: 1, zones: 1, relays: 1, endpoints: 1, tolerate: 0})
		c := w.controls[0]
		set := w.settingsOf(c.machine, true)
		random := rand.New(rand.NewSource(1))
		c.file, _, _, _ = logfile.OpenOn(c.disk, worldFolder, logfile.Limits{})
		c.up, c.life = true, 1
		c.process = newProcess(set, quiet, func() time.Time { return w.now }, random)
		c.process.network, c.process.disk, c.take = simulatedNetwork{w, c.machine, 1}, c, c.process.receive
		first, err := c.process.build(openedStore{file: c.file, discarded: discarded}, random)
		assert.NilError(t, err)
		c.process.begin(first)
		c.tick(1)
		w.run(10 * time.Second)
		assert.Equal(t, c.process.chain.View().Epoch > 0, !discarded)
	}
}

// settledWorld is a control plane that has been calm for a while.
func settledWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 3, worldOptions{controls: 5, zones: 3, relays: 3, endpoints: 6, tolerate: 1})
	w.run(12 * time.Second)
	assert.Equal(t, len(w.broken), 0)
	return w
}

// A process that is cut off learns of no heartbeat, and says of no endpoint that it is silent or gone.
func TestNoEndpointExpiresAtAProcessThatIsCutOff(t *testing.T) {
	w := settledWorld(t)
	c := w.controls[4]
	w.isolate(c.machine, true, true, everyone)
	for _, e := range w.endpoints {
		e.control = w.controls[0]
	}
	w.run(20 * time.Second)
	for _, instance := range c.process.instances.Instances() {
		assert.Equal(t, instance.State, registry.StateReady, instance.ID)
	}
	assert.Equal(t, len(c.process.instances.Instances()), len(w.endpoints))
	assert.Equal(t, len(w.broken), 0, "%v", w.broken)
}

// A process that can tell nobody acknowledges no departure, and says so with 503: the endpoint calls another one.
func TestDepartureAtAProcessThatIsCutOffIsNotAcknowledged(t *testing.T) {
	w := settledWorld(t)
	c := w.controls[4]
	w.isolate(c.machine, true, true, w.isControl)
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
	assert.Equal(t, recorder.Code, http.StatusOK) // a heartbeat alone binds nobody
}
