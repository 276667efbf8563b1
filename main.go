// Command cicadareel balances load between callers and the endpoints of
// expert-parallel model groups.
package main

import (
	"os"

	"github.com/cicadareel/cicadareel/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args)) }
