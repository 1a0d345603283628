// Command wallflow-control is the control plane of the serving system. It stores the configuration, tracks processes and
// endpoints, and distributes both to the relays.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"wallflow/internal/control"
	"wallflow/internal/program"
)

func main() {
	os.Exit(program.Main(&cli.Command{
		Name:  "wallflow-control",
		Usage: "store the configuration, track processes and endpoints, distribute both to the relays",
	}, control.Serve))
}
