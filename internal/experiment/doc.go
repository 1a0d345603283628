// Package experiment compares endpoint selection policies in a discrete-event simulation with emulated inference engines and a virtual
// clock. The policies are the relays' selector, two baselines (least outstanding requests, round robin), and an oracle that knows the
// state of every engine. Equal seeds give equal results.
package experiment
