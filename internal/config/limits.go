package config

import "regexp"

// Bounds of a configuration. They keep the encoded form within the sizes measured in docs/decisions/0009-configuration.md.
const (
	maxNameBytes        = 63 // an identifier of PostgreSQL
	maxFailureDomains   = 64
	maxGroups           = 10_000
	maxCustomers        = 20_000
	maxRoutes           = 20_000
	maxKeys             = 100
	minMembers          = 3 // with fewer, the loss of one member leaves no majority
	maxMembers          = 7
	maxSlots            = 1_024
	maxConnections      = 10_000
	maxRatePerSecond    = 1_000_000
	maxBurst            = 1_000_000
	maxShare            = 1_000
	minSaltBytes        = 12
	maxSaltBytes        = 64
	minIterations       = 4_096 // RFC 7677
	maxIterations       = 1_000_000
	verifierBytes       = 32 // output of SHA-256
	maxOperatorBytes    = 128
	maxOperationIDBytes = 128
)

// Presets lists the presets; each customer has one contract for each.
func Presets() []Preset { return []Preset{PresetOrdinary, PresetPeak, PresetMaintenance} }

// namePattern leaves out the full stop, which separates customer and key in a user name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// ValidName reports whether s may name a failure domain, group, member, customer, key or database.
func ValidName(s string) bool { return len(s) <= maxNameBytes && namePattern.MatchString(s) }
