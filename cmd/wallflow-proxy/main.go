// Command wallflow-proxy is the data plane of the serving system. It accepts requests from clients and forwards each to an
// endpoint.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"wallflow/internal/dataplane"
	"wallflow/internal/program"
	"wallflow/internal/selector"
)

func main() {
	var options dataplane.Options
	os.Exit(program.Main(&cli.Command{
		Name:  "wallflow-proxy",
		Usage: "accept requests from clients and forward each to an endpoint",
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name:        "disable",
			Usage:       "disable these mechanisms of endpoint selection, for measurements:\n" + selector.DescribeMechanisms() + "\n",
			Destination: &options.Disabled,
		}},
	}, options.Serve))
}
