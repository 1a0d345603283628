// Command mutation plants mistakes in the sources, one at a time, and tells whether the tests that CI runs find each. It changes no file:
// the compiler is given other contents for the one file. Run it at the root of the repository:
//
//	go run ./internal/mutation            the mistakes that are listed by hand
//	go run ./internal/mutation -only NAME one of them
//	go run ./internal/mutation -survey 60 -seed 3 ./internal/chain   drawn mistakes in a package
//
// It takes a run of the tests of a package for each mistake and is no part of CI, which checks that every mistake listed can be planted.
package main
