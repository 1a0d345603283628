package report

import (
	"strings"
	"testing"

	"wallflow/internal/trial/history"
)

func TestFiguresOfListServers(t *testing.T) {
	const ms = 1000
	put := func(from, to, version int64, outcome string) history.Event {
		return history.Event{Kind: history.Put, Began: from * ms, At: to * ms, Version: version, Outcome: outcome}
	}
	seen := func(at, version int64, who string) history.Event {
		return history.Event{Kind: history.Seen, At: at * ms, Version: version, Relay: who}
	}
	l := listFigures([]history.Event{
		put(0, 10, 1, history.OK), seen(9, 1, "f0"), seen(14, 1, "f1"), put(20, 30, 0, history.Broken), put(30, 31, 0, history.Refused),
		{Kind: history.Confirmed}, put(100, 130, 3, history.OK), seen(135, 3, "f0"), seen(190, 4, "f1"), put(150, 180, 4, history.OK), // f0 never has 4
	})
	if l.Writes != 3 || l.Unknown != 1 || l.Refused != 1 || l.Reads != 1 || l.GapMS != 120 {
		t.Errorf("%+v", l)
	}
	if l.SeenMS < 3.9 || l.SeenMS > 4.1 || l.Seen99 < 59 || l.Seen99 > 61 || l.P99MS < 29 || l.P99MS > 31 {
		t.Errorf("%+v", l)
	}
	var b strings.Builder
	l.text(&b)
	if !strings.Contains(b.String(), "3 writes, 1 unknown, 1 refused") || !strings.Contains(b.String(), "none for 120 ms") {
		t.Error(b.String())
	}
	if l := listFigures([]history.Event{{Kind: history.Hand}}); l != nil {
		t.Errorf("without list servers: %+v", l)
	}
}
