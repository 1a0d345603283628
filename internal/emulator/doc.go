// Package emulator emulates the endpoints of a service, so that the whole system can be run and tested on one machine.
//
// Engine simulates an inference engine: it batches requests, prefills prompts in chunks interleaved with the decoding of other
// requests, caches prompt parts, and preempts requests when memory runs out. PlainService simulates a service with a fixed
// number of slots and a fixed processing time per request. Both are deterministic: they take the time as an argument and return events,
// and the same calls give the same events. Endpoint serves either over HTTP and sends heartbeats to the control processes.
package emulator
