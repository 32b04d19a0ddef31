package dottersettings

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
)

// ErrUnreadable means that the settings file cannot be read.
var ErrUnreadable = eris.New("settings: cannot read the file")

// Settings is the contents of a daemon's settings file.
type Settings struct {
	Host          string // name of this entry host, unique among all hosts
	FailureDomain string // failure domain of this host
	Region        string // region of the failure domain

	CallerListen      string   // callers' API: listen address
	CallerAdvertise   string   // callers' API: address announced to peers; defaults to CallerListen
	PeerListen        string   // peer links: listen address
	PeerAdvertise     string   // peer links: address announced to peers; defaults to PeerListen
	OperatorListen    string   // operators' API, metrics and health: listen address
	StoreAddress      string   // address of the platform's key-value store
	HostListAddress   string   // address of the platform's host list; defaults to StoreAddress
	SeedPeers         []string // addresses of peers that are dialled in addition to those discovered
	BackendHealthPath string   // path of the health check on backend servers

	Limits Limits
	Timing Timing
	Log    Log
}

// Default returns the values of omitted fields.
func Default() Settings {
	return Settings{
		BackendHealthPath: "/healthz",
		Limits:            defaultLimits(),
		Timing:            defaultTiming(),
		Log:               Log{Level: "info"},
	}
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(ErrUnreadable, "%s: %v", path, err)
	}
	return Parse(path, data)
}

// Parse decodes and checks data. Its errors name source and the line of each fault.
func Parse(source string, data []byte) (Settings, error) {
	s := Default()
	if err := dotterjson.Decode(source, data, &s); err != nil {
		return Settings{}, err
	}
	s = s.withDefaultAddresses()
	if err := s.Check(source); err != nil {
		return Settings{}, dotterjson.Locate(source, data, err)
	}
	return s, nil
}

// Check returns a *dottercheck.Faults that lists all invalid fields, or nil.
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

// withDefaultAddresses returns a copy of s with defaults for omitted addresses.
func (s Settings) withDefaultAddresses() Settings {
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
