package relay

import (
	"fmt"
	"os"
	"strings"

	"onyxroad.dev/onyxroad/policy"
)

func traceStep(evs []policy.Event, acts []policy.Action) {
	var b strings.Builder
	for _, e := range evs {
		switch e.Kind {
		case policy.Taken:
			fmt.Fprintf(&b, "T %d d%d c%d left=%d res=%v\n", e.ID, e.Destination, e.Class, e.Left.Milliseconds(), e.Resumed != nil)
		case policy.Finished:
			fmt.Fprintf(&b, "F %d %s o%d took=%d wait=%d x0=%.2f x1=%.1f\n", e.ID, e.Route, e.Outcome, e.Took.Milliseconds(), e.Wait.Milliseconds(), e.Report.Left, e.Report.Limit)
		case policy.ListWhole, policy.ListChanges:
			fmt.Fprintf(&b, "L %d n=%d\n", e.Kind, len(e.List))
			for _, l := range e.List {
				fmt.Fprintf(&b, "l %+v\n", l)
			}
		}
	}
	for _, a := range acts {
		switch a.Kind {
		case policy.Send:
			fmt.Fprintf(&b, "S %d %s\n", a.ID, a.Route)
		case policy.Refuse:
			fmt.Fprintf(&b, "R %d %d\n", a.ID, a.Delay.Milliseconds())
		case policy.Fail:
			fmt.Fprintf(&b, "X %d\n", a.ID)
		case policy.CloseIdle:
			fmt.Fprintf(&b, "C %s\n", a.Route)
		}
	}
	if b.Len() > 0 {
		os.Stderr.WriteString(b.String())
	}
}
