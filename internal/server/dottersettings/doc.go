// Package dottersettings reads and checks the settings file of an entry host's daemon.
//
// Settings are what a process cannot learn from the platform: its name, addresses
// and failure domain, the addresses of the platform's services, and its limits. The
// file is JSON with comments. Omitted fields have the values that Default returns.
// All other values are checked, and all faults are reported together. Whatever
// operators change at run time is part of the configuration instead.
package dottersettings
