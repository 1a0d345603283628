// Package operator is the operator's side of the control processes' API: a client that finds one which answers, and the forms of what
// they say.
package operator
