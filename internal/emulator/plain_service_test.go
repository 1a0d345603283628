package emulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/emulator"
)

func TestPlainServiceRunsUpToSlotsAtOnce(t *testing.T) {
	service := emulator.NewPlainService(emulator.PlainServiceOptions{Slots: 2, Queue: 1})
	serviceTime := 30 * time.Millisecond
	for id := range 3 {
		assert.Assert(t, service.Submit(startTime, emulator.Job{ID: emulator.JobID(id + 1), ServiceTime: serviceTime}))
	}
	assert.Assert(t, !service.Submit(startTime, emulator.Job{ID: 4, ServiceTime: serviceTime}), "both slots and the queue are full")
	events := runToCompletion(service)
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].At, startTime.Add(serviceTime))
	assert.Equal(t, events[1].At, startTime.Add(serviceTime))
	assert.Equal(t, events[2].At, startTime.Add(2*serviceTime))
	assert.Equal(t, events[2].Job, emulator.JobID(3))
}

func TestPlainServiceDropsExpiredAndCancelledJobs(t *testing.T) {
	service := emulator.NewPlainService(emulator.PlainServiceOptions{Slots: 1, Queue: 2})
	assert.Assert(t, service.Submit(startTime, emulator.Job{ID: 1, ServiceTime: time.Second}))
	assert.Assert(t, service.Submit(startTime, emulator.Job{ID: 2, ServiceTime: time.Second, Deadline: startTime.Add(time.Millisecond)}))
	assert.Assert(t, service.Submit(startTime, emulator.Job{ID: 3, ServiceTime: time.Second}))
	service.Cancel(startTime, 3)
	events := runToCompletion(service)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[1].Kind, emulator.EventExpired)
	assert.DeepEqual(t, service.Load(), emulator.Load{})
}
