// Command cicadareel is a load balancer for the endpoints of expert-parallel
// model groups.
package main

import (
	"os"

	"github.com/cicadareel/cicadareel/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args)) }
