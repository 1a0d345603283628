// Package emulator is a stand-in for the endpoints of a service, so that the whole system can be run and tested on one machine.
//
// Engine is the model of a model server: it batches requests, prefills their prompts in chunks between the tokens of others, keeps
// prompt parts and gives way when memory runs out. Shop is the model of a plain service with a fixed number of places. Both are pure:
// they take the time as an argument, return events, and the same calls give the same events. Endpoint serves either over HTTP and
// tells the control processes of itself.
package emulator
