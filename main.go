// Command wasabihoist schedules multi-accelerator jobs and short requests. See
// docs/design.md.
package main

import (
	"os"

	"wasabihoist/cmd"
)

func main() { os.Exit(cmd.Main()) }
