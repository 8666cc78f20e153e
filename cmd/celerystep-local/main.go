// Command celerystep-local runs a whole fleet in one process, for trials and for a first look.
package main

import (
	"os"

	"github.com/celerystep/celerystep/internal/local"
)

func main() { os.Exit(local.Main(os.Args[1:], os.Stdout, os.Stderr)) }
