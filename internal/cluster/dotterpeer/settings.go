package dotterpeer

// Settings configures a Mesh.
type Settings struct {
	Identity Identity // the kernel chooses the port if Address has port 0
	Listen   string   // IP:port to bind if it differs from Identity.Address, as behind a relay
	Seeds    []string // IP:port of entry hosts that are always dialed, also before SetAddresses
}

func (s Settings) bindAddress() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Identity.Address
}
