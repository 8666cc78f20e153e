// Command celerystep-platform runs the stand-in for the platform's key-value service and instance list. Its faults are
// switched by the SetFaults call.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
	standin "github.com/celerystep/celerystep/internal/standin/platform"
	"github.com/celerystep/celerystep/internal/standin/program"
)

const (
	name = "celerystep-platform"
	help = "Stand-in for the platform's key-value service and instance list, in memory."
)

// settings is the content of the settings file.
type settings struct {
	// Address is the host:port to listen on.
	Address string `json:"address"`
	// Instances is the initial instance list.
	Instances []instance.Info `json:"instances"`
}

func main() { os.Exit(program.Main(name, help, os.Args[1:], os.Stderr, run)) }

func run(ctx context.Context, s settings, log hclog.Logger) error {
	o := standin.Options{Address: s.Address}
	for _, i := range s.Instances {
		o.Instances = append(o.Instances, platform.InstanceEntry{Info: i})
	}
	server, err := standin.Start(o)
	if err != nil {
		return err
	}
	log.Info("listening", "address", server.Addr(), "instances", len(o.Instances))
	<-ctx.Done()
	return server.Close()
}
