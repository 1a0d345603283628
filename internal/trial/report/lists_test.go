package report

import (
	"strings"
	"testing"

	"wallflow/internal/trial/history"
)

func TestListMetrics(t *testing.T) {
	const ms = 1000
	write := func(from, to, version int64, outcome string) history.Event {
		return history.Event{Kind: history.ListWrite, Began: from * ms, At: to * ms, Version: version, Outcome: outcome}
	}
	update := func(at, version int64, follower string) history.Event {
		return history.Event{Kind: history.FollowerUpdate, At: at * ms, Version: version, Relay: follower}
	}
	l := listMetrics([]history.Event{
		write(0, 10, 1, history.OK), update(9, 1, "f0"), update(14, 1, "f1"), write(20, 30, 0, history.ConnectionLost),
		write(30, 31, 0, history.Refused),
		// f0 never has version 4
		{Kind: history.ListRead}, write(100, 130, 3, history.OK), update(135, 3, "f0"), update(190, 4, "f1"), write(150, 180, 4, history.OK),
	})
	if l.Writes != 3 || l.UnknownWrites != 1 || l.RefusedWrites != 1 || l.Reads != 1 || l.MaxGapMS != 120 {
		t.Errorf("%+v", l)
	}
	if l.FollowP50MS < 3.9 || l.FollowP50MS > 4.1 || l.FollowP99MS < 59 || l.FollowP99MS > 61 || l.WriteP99MS < 29 || l.WriteP99MS > 31 {
		t.Errorf("%+v", l)
	}
	var b strings.Builder
	l.text(&b)
	if !strings.Contains(b.String(), "3 writes, 1 unknown, 1 refused") || !strings.Contains(b.String(), "none for 120 ms") {
		t.Error(b.String())
	}
	if l := listMetrics([]history.Event{{Kind: history.Submit}}); l != nil {
		t.Errorf("without list servers: %+v", l)
	}
}
