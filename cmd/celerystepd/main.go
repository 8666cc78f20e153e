// Command celerystepd is the proxy daemon.
package main

import (
	"os"

	"github.com/celerystep/celerystep/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
