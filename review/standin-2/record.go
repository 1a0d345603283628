// Command standin2 plays the cases 4, 5, 7 and 8 of the review: it starts the programs of the deploy file and stand-ins for clients, endpoints and
// the operator, brings about one disruption, and judges what the stand-ins saw.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}
