// Package operator is a client for the HTTP API of the control processes, which the operator uses. The client tries one process after
// the other until one answers.
package operator
