// Package testkit holds what the tests of several packages share. No program imports it.
package testkit

import (
	"flag"
	"sync"
)

// defaultWorkers is used outside of a test binary.
const defaultWorkers = 1

// Workers is how many tests may run at once (go test -parallel).
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

// Each calls work once for each index below count, from as many goroutines as tests may run at once, and returns when all are done.
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
