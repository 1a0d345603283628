// Package smallsystem runs a whole serving system on the loopback addresses of one machine: the real control processes and relays,
// stand-in endpoints, and a client that checks what it is answered. It is for showing and trying the system, and for its end-to-end
// test.
package smallsystem
