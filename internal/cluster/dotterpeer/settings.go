package dotterpeer

// Settings are what a mesh needs to know of its host.
type Settings struct {
	Identity Identity // Address may have port 0: the kernel chooses
	Listen   string   // IP:port to bind if it isn't Identity.Address, as behind a relay
	Seeds    []string // IP:port of entry hosts to dial before any record is read
}

func (s Settings) bindAddress() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Identity.Address
}
