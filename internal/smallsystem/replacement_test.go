package smallsystem

import (
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopTogether tells processes to end at the same moment, and waits until they have.
func (c *core) stopTogether(machines []machine) {
	c.t.Helper()
	for _, machine := range machines {
		assert.NilError(c.t, c.running[machine.name].Signal(syscall.SIGTERM))
	}
	for _, machine := range machines {
		<-c.running[machine.name].Done()
		delete(c.running, machine.name)
	}
}

// untilVoters waits until a process tells that exactly the named ones vote.
func (c *core) untilVoters(at machine, names []string) time.Duration {
	c.t.Helper()
	slices.Sort(names)
	begun := time.Now()
	for ; ; wait(lookPause) {
		status, err := c.status(at)
		if err == nil && status.Fresh {
			voters := slices.Clone(status.View.Voters)
			slices.Sort(voters)
			if slices.Equal(voters, names) {
				return time.Since(begun)
			}
		}
		assert.Assert(c.t, time.Since(begun) < orderBound, "%s: %v vote, wanted are %v (%v)", at.name, status.View.Voters, names, err)
	}
}

// Two of three control machines are replaced at once, as planned: their successors come, and both are told to stop at the same moment,
// for good. Changes go on meanwhile, no dead voter stays, and the next loss, with the disk, is borne.
func TestTwoMachinesAreReplacedAtOnce(t *testing.T) {
	c := newCore(t, buildControl(t), 1)
	former, stays := c.layout.control[:2], c.layout.control[2]
	successors := []machine{c.layout.machine("control", controlCount, firstControl), c.layout.machine("control", controlCount+1, firstControl)}
	c.called = slices.Concat(c.layout.control, successors)
	end := make(chan struct{})
	failed := c.operate(end)
	c.awaitChanges(5, orderBound)
	for _, successor := range successors {
		c.start(successor, false)
	}
	for _, successor := range successors {
		t.Logf("%s votes after %v", successor.name, c.untilVoter(successor))
	}
	begun := time.Now()
	c.stopTogether(former)
	t.Logf("both stopped after %v", time.Since(begun))
	left := []string{stays.name, successors[0].name, successors[1].name}
	t.Logf("those that are left vote alone after %v", c.untilVoters(stays, left))
	wait(betweenWipes)
	c.kill(stays)
	assert.NilError(t, os.RemoveAll(c.store(stays)))
	c.awaitChanges(5, quietAfter)
	close(end)
	assert.NilError(t, <-failed)
	c.checkKept()
}
