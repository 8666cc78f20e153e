// Package config holds the operators' configuration of a fleet and keeps the version that is in force.
package config

import (
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Preset selects which of each customer's contracts is in force.
type Preset string

// Presets. Exactly one is in force at a time.
const (
	PresetOrdinary    Preset = "ordinary"
	PresetPeak        Preset = "peak"
	PresetMaintenance Preset = "maintenance"
)

// Cluster is one version of the operators' configuration.
type Cluster struct {
	// Version grows by one with each accepted change.
	Version uint64 `json:"version"`
	// OperationID identifies the change that made this version; it resolves a lost compare-and-swap answer.
	OperationID    string           `json:"operation_id"`
	Preset         Preset           `json:"preset"`
	FailureDomains []FailureDomain  `json:"failure_domains"`
	Groups         []upstream.Group `json:"groups"`
	Customers      []Customer       `json:"customers"`
	Routes         []Route          `json:"routes"`
}

// FailureDomain is the operators' intent for a failure domain.
type FailureDomain struct {
	Name   instance.FailureDomain `json:"name"`
	Region string                 `json:"region"`
	// Out is true while the domain is taken out and gets no new work.
	Out bool `json:"out"`
}

// Customer is a tenant with its contracts and keys.
type Customer struct {
	Name string `json:"name"`
	// MainGroup names the group at whose home the customer's bucket lives; empty means the group of the first route
	// by database name.
	MainGroup upstream.GroupID    `json:"main_group,omitempty"`
	Contracts map[Preset]Contract `json:"contracts"`
	Keys      []Key               `json:"keys"`
}

// Contract bounds and weighs a customer's work under one preset, over the whole fleet.
type Contract struct {
	// RatePerSecond is the sustained number of statements a second.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is the number of statements that may come at once.
	Burst int `json:"burst"`
	// Share is the customer's weight in the fair queue.
	Share int `json:"share"`
}

// Key is the SCRAM-SHA-256 verifier of a customer's key. The key itself is never stored.
type Key struct {
	Name       string `json:"name"`
	Withdrawn  bool   `json:"withdrawn,omitempty"`
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	StoredKey  []byte `json:"stored_key"`
	ServerKey  []byte `json:"server_key"`
}

// Route maps a database name that callers ask for to a group.
type Route struct {
	Database string           `json:"database"`
	Group    upstream.GroupID `json:"group"`
	// Customers may use the route with a key.
	Customers []string `json:"customers,omitempty"`
	// OpenCustomer, when set, opens the route to callers without a key; their work counts as this customer's.
	OpenCustomer string `json:"open_customer,omitempty"`
}
