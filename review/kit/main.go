// Command kit plays the scripts of the review: it starts the instances as processes on stand-ins of the platform, the databases
// and the consumers, injects a disruption unless TROUBLE is 0, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a script.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

// outcome is the result of a script: the breaches of its rule, and an error if it could not be played.
type outcome struct {
	breaches []string
	err      error
}

// scripts holds the scripts by name. Each gets the path of its record and whether to inject the disruption.
var scripts = map[string]func(recordPath string, trouble bool) outcome{
	"stale":   playStale,
	"stall":   playStall,
	"newline": playNewline,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit SCRIPT FOLDER")
		os.Exit(statusCannotRun)
	}
	result := make(chan outcome, 1)
	go func() {
		result <- scripts[os.Args[1]](filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	}()
	o := <-result
	for i, b := range o.breaches {
		if i == 10 {
			fmt.Printf("and %d more\n", len(o.breaches)-i)
			break
		}
		fmt.Println("broken:", b)
	}
	switch {
	case o.err != nil:
		fmt.Println("could not run:", o.err)
		os.Exit(statusCannotRun)
	case len(o.breaches) > 0:
		os.Exit(statusBroken)
	}
	fmt.Println("the rule held")
	os.Exit(statusHeld)
}
