package main

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
)

// wireNames holds the names of the platform's interfaces, which wire.json lists.
type wireNames struct {
	SettingsVariable string         `json:"settingsVariable"`
	ConfigKey        string         `json:"configKey"`
	EvacuateKey      string         `json:"evacuateKey"`
	MemberKey        string         `json:"memberKey"`
	ClaimKey         string         `json:"claimKey"`
	GetPath          string         `json:"getPath"`
	CloudKey         string         `json:"cloudKey"`
	ListenKey        string         `json:"listenKey"`
	ReadyPath        string         `json:"readyPath"`
	FenceHeader      string         `json:"fenceHeader"`
	ConnectionLimit  string         `json:"connectionLimit"`
	Settings         map[string]any `json:"settings"`
	Route            map[string]any `json:"route"`
	Dashboards       map[string]any `json:"dashboards"`
	Service          map[string]any `json:"service"`
	Limits           map[string]any `json:"limits"`
	Member           map[string]any `json:"member"`
}

// readWire reads the names from review/kit in the current directory, the root of the repository.
func readWire() (*wireNames, error) {
	raw, err := os.ReadFile(filepath.Join("review", "kit", "wire.json"))
	if err != nil {
		return nil, err
	}
	w := &wireNames{}
	return w, json.Unmarshal(raw, w)
}

// with returns a copy of a template with other values of some fields.
func with(template, fields map[string]any) map[string]any {
	out := maps.Clone(template)
	maps.Copy(out, fields)
	return out
}
