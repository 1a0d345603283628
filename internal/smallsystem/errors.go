package smallsystem

import (
	"fmt"
	"strings"
)

// NotReadyError says what a system waits for before it serves.
type NotReadyError struct{ What string }

// Error tells it.
func (e *NotReadyError) Error() string { return e.What }

// EndedError tells of a process that ended by itself.
type EndedError struct {
	Process string
	Why     string
	Log     string
}

// Error puts it on one line.
func (e *EndedError) Error() string {
	return fmt.Sprintf("%s ended by itself (%s); its log is %s", e.Process, e.Why, e.Log)
}

// KilledError tells of processes that did not end within their grace.
type KilledError struct{ Processes []string }

// Error puts it on one line.
func (e *KilledError) Error() string {
	return "had to be killed, since they did not end in time: " + strings.Join(e.Processes, ", ")
}

// AnswerError says what is wrong with an answer to the client.
type AnswerError struct {
	Relay  string
	Status int // 0: there was none
	Reason string
}

// Error puts it on one line.
func (e *AnswerError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s: %s", e.Relay, e.Reason)
	}
	return fmt.Sprintf("%s answered %d: %s", e.Relay, e.Status, e.Reason)
}
