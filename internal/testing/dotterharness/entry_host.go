package dotterharness

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// EntryHost is an entry host of a cluster. Its daemon may or may not be running.
type EntryHost struct {
	Settings dottersettings.Settings
	*Process // the most recently started daemon; only the test's goroutine may use it

	directory   string
	descriptors int // limit of the daemon; 0: that of the test process
	incarnation int64
	pid         atomic.Int64 // of the most recently started daemon, for the relays; 0: none
	peers       *relay
	callers     *relay
}

// newEntryHost chooses the addresses of an entry host on the loopback address
// ip. Unless identify is nil, other entry hosts reach it through relays.
func newEntryHost(settings dottersettings.Settings, ip, directory string, identify func(net.Conn) *link) (*EntryHost, error) {
	h := &EntryHost{Settings: settings, directory: directory}
	for _, address := range []*string{&h.Settings.CallerListen, &h.Settings.PeerListen, &h.Settings.OperatorListen} {
		reserved, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer reserved.Close() // only after the loop, because the kernel may assign a released port again
		*address = reserved.Addr().String()
	}
	h.Settings.PeerAdvertise = h.Settings.PeerListen
	h.Settings.CallerAdvertise = h.Settings.CallerListen
	if identify == nil {
		return h, nil
	}
	return h, h.addRelays(ip, identify)
}

// addRelays starts the relays that other entry hosts connect to and advertises
// their addresses instead of the daemon's.
func (h *EntryHost) addRelays(ip string, identify func(net.Conn) *link) error {
	var err error
	if h.peers, err = newRelay(ip+":0", h.Settings.PeerListen, identify); err != nil {
		return err
	}
	if h.callers, err = newRelay(ip+":0", h.Settings.CallerListen, identify); err != nil {
		return err
	}
	h.Settings.PeerAdvertise = h.peers.address()
	h.Settings.CallerAdvertise = h.callers.address()
	return nil
}

// Name returns the entry host's name.
func (h *EntryHost) Name() string {
	return h.Settings.Host
}

// LogPath returns the path of the log file that all daemons of this host append to.
func (h *EntryHost) LogPath() string {
	return filepath.Join(h.directory, h.Name()+".log")
}

// Row returns the entry host's row for the host list.
func (h *EntryHost) Row() dotterhost.Host {
	return dotterhost.Host{
		Name:          h.Name(),
		Address:       h.Settings.PeerAdvertise,
		FailureDomain: h.Settings.FailureDomain,
		Role:          dotterhost.RoleEntry,
		State:         dotterhost.StateLive,
		Incarnation:   h.incarnation,
	}
}

// start starts a daemon with the host's settings and the next incarnation.
func (h *EntryHost) start() error {
	content, err := json.MarshalIndent(h.Settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(h.directory, h.Name()+".jsonc")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.incarnation++
	h.Process, err = StartLimited(h.descriptors, "dotterelusherd", []string{"--settings", path}, log, log)
	if err == nil {
		h.pid.Store(int64(h.Pid()))
	}
	return err
}

// close kills the daemon and closes the relays.
func (h *EntryHost) close() {
	if h.Process != nil {
		h.Kill()
	}
	h.peers.close()
	h.callers.close()
}

func newBody(content []byte) io.Reader {
	return bytes.NewReader(content)
}
