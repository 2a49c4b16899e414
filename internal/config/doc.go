// Package config reads and validates the settings file that the platform passes to a
// controller at its start. All other packages use the validated Settings, in which
// durations have the type time.Duration.
package config
