// Package config reads and checks the settings file that the platform hands
// over when a controller starts. Everything else in heronwick uses the checked
// values, with the standard library's time types.
package config
