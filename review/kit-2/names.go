package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// dataFolder holds the data files of the stand-ins, from the repository's root.
const dataFolder = "review/kit-2"

// names are the names of the platform's interfaces that the stand-ins use.
type names struct {
	BootVariable   string `json:"bootVariable"`
	ConfigKey      string `json:"configKey"`
	EvacuatePrefix string `json:"evacuatePrefix"`
	MemberPrefix   string `json:"memberPrefix"`
	FenceHeader    string `json:"fenceHeader"`
	ConnLimit      string `json:"connLimit"`
	WarmupField    string `json:"warmupField"`
}

func readNames() (names, error) {
	var n names
	raw, err := os.ReadFile(filepath.Join(dataFolder, "names.json"))
	if err != nil {
		return n, err
	}
	return n, json.Unmarshal(raw, &n)
}
