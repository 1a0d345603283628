package check

import (
	"fmt"

	"wallflow/internal/trial/history"
)

// checkPolicy verifies under which policies relays accepted messages, and that all relays follow the policy in force at
// the end.
//
// A relay accepts a message at some time between the message's last byte and the answer. Once any relay has answered
// under a policy, no relay accepts a message that was submitted later under an older policy. No tolerance is applied: a
// relay that stops following a policy measures its time from before its last request, and one that starts with a policy
// measures from after it was told.
func (chk *checker) checkPolicy() {
	if len(chk.policyOutcomes) == 0 {
		return
	}
	chk.verdict.Judged[OnePolicy], chk.verdict.Judged[PolicySettles] = 0, 0
	outcome := map[int64]string{}
	for _, i := range chk.policyOutcomes {
		e := chk.events[i]
		if e.Relay == "" {
			outcome[int64(e.Number)] = e.Outcome
			continue
		}
		chk.countCase(PolicySettles)
		if e.Status != 1 {
			chk.addViolation(Violation{PolicySettles, e.Relay, fmt.Sprintf("at the end it follows policy %d: %s", e.Number, e.Note), 0, []int{i}},
				0, 0)
		}
	}
	firstSubmission := map[string]int{} // index of a message's first submission
	for i, e := range chk.events {
		if _, known := firstSubmission[e.ID]; e.Kind == history.Submit && !known {
			firstSubmission[e.ID] = i
		}
	}
	newest := -1 // index of the answer under the highest policy so far
	for i, e := range chk.events {
		if e.Kind != history.Answer || e.Status/100 != 2 {
			continue
		}
		chk.countCase(OnePolicy)
		if e.Policy > 0 && outcome[e.Policy] != history.OK {
			chk.addViolation(Violation{OnePolicy, e.ID, fmt.Sprintf("%s took it on under policy %d, which was not sealed (%s)", e.Relay, e.Policy,
				outcome[e.Policy]), 0, []int{i}}, 0, 0)
		}
		submission, known := firstSubmission[e.ID]
		if newest >= 0 && known {
			if n := chk.events[newest]; n.Policy > e.Policy && n.At < chk.events[submission].At {
				chk.addViolation(Violation{OnePolicy, e.ID, fmt.Sprintf("%s took it on under policy %d, %.1f ms after %s had under %d", e.Relay,
					e.Policy,
					float64(chk.events[submission].At-n.At)/ms, n.Relay, n.Policy), 0, []int{newest, submission, i}}, 0, 0)
			}
		}
		if newest < 0 || e.Policy > chk.events[newest].Policy {
			newest = i
		}
	}
}
