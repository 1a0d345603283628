package emulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/emulator"
)

func TestAShopWorksOnSoManyAtOnce(t *testing.T) {
	shop := emulator.NewShop(emulator.ShopOptions{Slots: 2, Queue: 1})
	work := 30 * time.Millisecond
	for id := range 3 {
		assert.Assert(t, shop.Submit(start, emulator.Job{ID: emulator.JobID(id + 1), Work: work}))
	}
	assert.Assert(t, !shop.Submit(start, emulator.Job{ID: 4, Work: work}), "two places and one to wait in")
	events := drain(shop)
	assert.Equal(t, len(events), 3)
	assert.Equal(t, events[0].At, start.Add(work))
	assert.Equal(t, events[1].At, start.Add(work))
	assert.Equal(t, events[2].At, start.Add(2*work))
	assert.Equal(t, events[2].Job, emulator.JobID(3))
}

func TestAShopForgetsWhoCannotWait(t *testing.T) {
	shop := emulator.NewShop(emulator.ShopOptions{Slots: 1, Queue: 2})
	assert.Assert(t, shop.Submit(start, emulator.Job{ID: 1, Work: time.Second}))
	assert.Assert(t, shop.Submit(start, emulator.Job{ID: 2, Work: time.Second, Deadline: start.Add(time.Millisecond)}))
	assert.Assert(t, shop.Submit(start, emulator.Job{ID: 3, Work: time.Second}))
	shop.Cancel(start, 3)
	events := drain(shop)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[1].Kind, emulator.EventExpired)
	assert.DeepEqual(t, shop.Load(), emulator.Load{})
}
