// Command wallflow-control is the control plane of the serving system: it keeps the configuration, knows the processes and the
// endpoints, and tells both to the relays.
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
		Usage: "keep the configuration, know processes and endpoints, tell the relays",
	}, control.Serve))
}
