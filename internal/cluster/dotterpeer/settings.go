package dotterpeer

// Settings are what a mesh needs to know of its host.
type Settings struct {
	Identity Identity // Address may have port 0: the kernel chooses
	Seeds    []string // IP:port of entry hosts to dial before any record is read
}
