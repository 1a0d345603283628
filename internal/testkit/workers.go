// Package testkit provides helpers that the tests of several packages share. No program imports it.
package testkit

import (
	"flag"
	"sync"
)

// defaultWorkers is the number of workers outside of a test binary.
const defaultWorkers = 1

// Workers returns how many tests may run at once (go test -parallel).
func Workers() int {
	parallel := flag.Lookup("test.parallel")
	if parallel == nil {
		return defaultWorkers
	}
	getter, ok := parallel.Value.(flag.Getter)
	if !ok {
		return defaultWorkers
	}
	count, ok := getter.Get().(int)
	if !ok {
		return defaultWorkers
	}
	return max(defaultWorkers, count)
}

// Each calls work once for each index below count, from Workers goroutines, and returns when all calls have returned.
func Each(count int, work func(index int)) {
	var group sync.WaitGroup
	workers := Workers()
	for worker := range workers {
		group.Go(func() {
			for index := worker; index < count; index += workers {
				work(index)
			}
		})
	}
	group.Wait()
}
