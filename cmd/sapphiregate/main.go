// Command sapphiregate is the daemon, which runs a node beside an upstream or a control member. It can also run a whole
// deployment in one process for development, and check settings files.
package main

import (
	"os"

	"sapphiregate.example/sapphiregate/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
