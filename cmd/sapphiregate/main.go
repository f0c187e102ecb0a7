// Command sapphiregate is the daemon: a node beside an upstream, or a control member.
package main

import (
	"os"

	"sapphiregate.example/sapphiregate/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
