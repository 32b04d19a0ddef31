package dottersettings

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
)

// ErrUnreadable means that the settings file can't be read.
var ErrUnreadable = eris.New("settings: the file can't be read")

// Settings is what one daemon is told when it starts.
type Settings struct {
	Host          string // name of this entry host, unique in the pool
	FailureDomain string // failure domain that it belongs to
	Region        string // region of that failure domain

	CallerListen      string // callers' API: address that it listens on
	CallerAdvertise   string // callers' API: address that peers are told; CallerListen if left out
	PeerListen        string // peer links: address that it listens on
	PeerAdvertise     string // peer links: address that peers are told; PeerListen if left out
	OperatorListen    string // operators' API, metrics and health: address that it listens on
	StoreAddress      string // the platform's key-value service
	HostListAddress   string // the platform's host list; StoreAddress if left out
	SeedPeers         []string
	BackendHealthPath string // path of backend servers that answers a probe

	Limits Limits
	Timing Timing
	Log    Log
}

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		BackendHealthPath: "/healthz",
		Limits:            defaultLimits(),
		Timing:            defaultTiming(),
		Log:               Log{Level: "info"},
	}
}

// Load reads and checks the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(ErrUnreadable, "%s: %v", path, err)
	}
	return Parse(path, data)
}

// Parse decodes and checks data; the error names source and the line of every fault.
func Parse(source string, data []byte) (Settings, error) {
	s := Default()
	if err := dotterjson.Decode(source, data, &s); err != nil {
		return Settings{}, err
	}
	s = s.withDerived()
	if err := s.Check(source); err != nil {
		return Settings{}, dotterjson.Locate(source, data, err)
	}
	return s, nil
}

// Check returns a *dottercheck.Faults that lists every field out of its range.
func (s Settings) Check(source string) error {
	var c dottercheck.Checker
	c.Name("/Host", s.Host)
	c.Name("/FailureDomain", s.FailureDomain)
	c.Name("/Region", s.Region)
	c.Address("/CallerListen", s.CallerListen)
	c.Address("/CallerAdvertise", s.CallerAdvertise)
	c.Address("/PeerListen", s.PeerListen)
	c.Address("/PeerAdvertise", s.PeerAdvertise)
	c.Address("/OperatorListen", s.OperatorListen)
	c.Address("/StoreAddress", s.StoreAddress)
	c.Address("/HostListAddress", s.HostListAddress)
	for _, p := range s.SeedPeers {
		c.Address("/SeedPeers", p)
	}
	if len(s.BackendHealthPath) == 0 || s.BackendHealthPath[0] != '/' {
		c.Fail("/BackendHealthPath", "must start with '/'")
	}
	s.Limits.check(&c)
	s.Timing.check(&c)
	s.Log.check(&c)
	return c.Err(source)
}

// withDerived returns a copy of s in which addresses left out follow others.
func (s Settings) withDerived() Settings {
	if s.CallerAdvertise == "" {
		s.CallerAdvertise = s.CallerListen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	if s.HostListAddress == "" {
		s.HostListAddress = s.StoreAddress
	}
	return s
}
