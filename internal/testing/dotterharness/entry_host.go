package dotterharness

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
)

// EntryHost is an entry host of a cluster, whether its daemon runs or not.
type EntryHost struct {
	Settings dottersettings.Settings
	*Process // of its newest daemon

	directory   string
	incarnation int64
	peers       *relay
	callers     *relay
}

// newEntryHost reserves the addresses of an entry host on the loopback address
// ip; with accept, relays stand between it and the others.
func newEntryHost(settings dottersettings.Settings, ip, directory string, accept func(net.Conn) *link) (*EntryHost, error) {
	h := &EntryHost{Settings: settings, directory: directory}
	for _, address := range []*string{&h.Settings.CallerListen, &h.Settings.PeerListen, &h.Settings.OperatorListen} {
		reserved, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer reserved.Close() // all at the end: the kernel may give a freed port again
		*address = reserved.Addr().String()
	}
	h.Settings.PeerAdvertise = h.Settings.PeerListen
	h.Settings.CallerAdvertise = h.Settings.CallerListen
	if accept == nil {
		return h, nil
	}
	return h, h.relay(ip, accept)
}

// relay puts relays between the host and the other entry hosts.
func (h *EntryHost) relay(ip string, accept func(net.Conn) *link) error {
	var err error
	if h.peers, err = newRelay(ip+":0", h.Settings.PeerListen, accept); err != nil {
		return err
	}
	if h.callers, err = newRelay(ip+":0", h.Settings.CallerListen, accept); err != nil {
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

// LogPath returns the file that holds what the daemons of this host wrote.
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

// start starts the daemon at the host's addresses.
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
	h.Process, err = startProcess("dotterelusherd", []string{"--settings", path}, log, log)
	return err
}

// close ends the daemon and the relays.
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
