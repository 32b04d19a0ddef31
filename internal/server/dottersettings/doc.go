// Package dottersettings reads the settings of one entry host's daemon.
//
// Settings are what a process can't learn from the platform: its own name,
// addresses and failure domain, where the platform is, and its limits. They
// are JSON with comments. A field that is left out has the default that
// Default gives; every other value is checked against its range, and all
// faults are reported together. What operators change while the system runs is
// not here but in the configuration.
package dottersettings
