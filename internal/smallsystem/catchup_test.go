package smallsystem

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/operator"
)

const (
	missedChanges  = 400 // more than a log keeps for others, so that a snapshot is needed
	installKills   = 6   // how often a process is killed while it catches up
	installWithin  = 400 * time.Millisecond
	caughtUpWithin = 6 * time.Second
	lookPause      = 5 * time.Millisecond
)

// readAt reads the configuration at one process. It is not older than what was acknowledged before the question, or there is none.
func (c *core) readAt(machine machine) (answered bool) {
	c.t.Helper()
	least := c.acked.Load()
	answer, err := c.client.Get("http://" + machine.at(portControl) + "/config")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		return false
	}
	document, err := config.Parse(text)
	assert.NilError(c.t, err)
	assert.Assert(c.t, document.Generation >= least, "%s answers version %d, %d was acknowledged before", machine.name, document.Generation, least)
	return true
}

// status asks one process what it holds.
func (c *core) status(machine machine) (operator.Status, error) {
	client, err := operator.New(c.layout.seeds(), nil)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), operatorTry)
	defer cancel()
	return client.Status(ctx, machine.at(portControl))
}

// awaitChanges waits until so many more changes are acknowledged.
func (c *core) awaitChanges(count uint64, within time.Duration) {
	c.t.Helper()
	before := c.acked.Load()
	for begun := time.Now(); c.acked.Load() < before+count; wait(operatorPause) {
		assert.Assert(c.t, time.Since(begun) < within, "%d of %d changes acknowledged", c.acked.Load()-before, count)
	}
}

// untilVoter waits until a process is up to date and votes, and reads the configuration there all the while.
func (c *core) untilVoter(machine machine) time.Duration {
	c.t.Helper()
	begun := time.Now()
	for ; ; wait(lookPause) {
		answered := c.readAt(machine)
		status, err := c.status(machine)
		if answered && err == nil && status.Fresh && status.Role != "learner" && slices.Contains(status.View.Voters, machine.name) {
			return time.Since(begun)
		}
		assert.Assert(c.t, time.Since(begun) < caughtUpWithin, "%s after %v: answered %v, %+v, %v", machine.name, time.Since(begun), answered, status, err)
	}
}

// A process that missed hundreds of changes, with its disk or without, is killed again and again while it catches up and more changes are
// made. It serves nothing old at any time, is up to date soon, and the loss of another one is borne then.
func TestCatchesUpAfterHundredsOfChanges(t *testing.T) {
	programs := buildControl(t)
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprintf("wiped %v", wiped), func(t *testing.T) {
			t.Parallel()
			c := newCore(t, programs, 1)
			end := make(chan struct{})
			failed := c.operate(end)
			c.awaitChanges(5, orderBound)
			away := c.anyMachine()
			c.kill(away)
			if wiped {
				assert.NilError(t, os.RemoveAll(c.store(away)))
			}
			c.awaitChanges(missedChanges, time.Minute)
			for range installKills {
				c.start(away, false)
				for begun, until := time.Now(), time.Duration(c.random.Int64N(int64(installWithin))); time.Since(begun) < until; wait(lookPause) {
					c.readAt(away)
				}
				c.kill(away)
			}
			c.start(away, false)
			took := c.untilVoter(away)
			t.Logf("%d changes missed, up to date and a voter after %v", missedChanges, took)
			wait(betweenWipes)
			for _, other := range c.layout.control {
				if other != away {
					c.kill(other)
					break
				}
			}
			c.awaitChanges(5, quietAfter)
			close(end)
			assert.NilError(t, <-failed)
			c.checkKept()
		})
	}
}
