package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "dahu75a"
	hostName    = "nony24.example"
	memoryMb    = 284
)

// zones of the deployment.
var zones = []string{"quillota", "los-andes", "san-felipe"}

// step is a step of a job; the fields in small letters are known to the clients and minions only.
type step struct {
	Count         int
	Cpu           int64
	MemMb         int64
	EstimateMs    int64  `json:",omitempty"`
	After         []int  `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`

	workMs int64
	lasts  bool
}

func (s step) reserved() int64 { return s.Cpu }

// job is a job as a client sends it.
type job struct {
	ID         string `json:"-"`
	Prefix     string `json:"-"`
	Spec       string
	Steps      []step
	Times      int   `json:",omitempty"`
	FirstMs    int64 `json:",omitempty"`
	IntervalMs int64 `json:",omitempty"`
}

// node is an edge machine with the daemon.
type node struct {
	sys     *system
	name    string
	ip      string
	zone    string
	file    string
	log     *os.File
	mu      sync.Mutex
	cmd     *exec.Cmd
	wanted  bool // whether the platform starts it again after an end
	ready   bool
	kills   int // by the platform, for its memory
	ends    int // by itself
	peakMb  int64
	startAt time.Time
}

// system is the deployment: the daemons, the store, the minions.
type system struct {
	rec     *record
	root    string
	dir     string
	store   *store
	fleet   *fleet
	nodes   []*node
	net     string // first three numbers of the loopback addresses
	client  *http.Client
	shards  int // that must have an owner
	tenants []tenant
	key     string // of the client's tenant
	closed  bool
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string
	ApiKeys []string
	Weight  float64
	Cap     map[string]int
}

// deployment is the size of a case's system.
type deployment struct {
	daemons, minions, shards int
	tenants                  []tenant
}

// newSystem starts the store, the minions and the daemons.
func newSystem(rec *record, root string, d deployment) (*system, error) {
	daemons, minions := d.daemons, d.minions
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, root: root, dir: dir, shards: max(1, d.shards), tenants: d.tenants, client: &http.Client{Timeout: 4 * time.Second}}
	if len(d.tenants) > 0 {
		s.key = d.tenants[0].ApiKeys[0]
	}
	s.store = newStore(rec)
	s.fleet = newFleet(rec, s.store, minions)
	// The deploy file's command has a fixed port for metrics, so each daemon gets an address of its own.
	for try := 0; ; try++ {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", s.net+".1:9464")
		if err == nil {
			_ = l.Close()
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", s.net+".200:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: s.store}).Serve(l) }()
	for i := range minions {
		if _, err := s.addMinion(i); err != nil {
			return nil, err
		}
	}
	s.configure(1, allRoutes())
	for i := range daemons {
		n := &node{sys: s, name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: fmt.Sprintf("%s.%d", s.net, i+1), zone: zones[i%len(zones)]}
		if err := n.prepare(l.Addr().String()); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	go s.probe()
	go s.guardMemory()
	return s, nil
}

var minionsOf []*minion

func (s *system) addMinion(i int) (*minion, error) {
	m, err := s.fleet.add(fmt.Sprintf("i-7f3a9%03x", i), fmt.Sprintf("%s.%d:0", s.net, 100+i%100), zones[i%len(zones)], fmt.Sprintf("r%d-1", i%len(zones)))
	if err == nil {
		minionsOf = append(minionsOf, m)
	}
	return m, err
}

// route is a queue of the configuration.
type route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, TargetRuntimeMs        int
	Priority, MaxAttempts             int
	Stretch                           float64
}

func allRoutes() []route {
	return []route{
		{Name: "r-1", Host: hostName, Prefix: "/lohu930/", Kind: "non_idempotent", Service: serviceName, TimeoutMs: 3000, TargetRuntimeMs: 250, Priority: 0, MaxAttempts: 4, Stretch: 1.5},
		{Name: "r-2", Host: hostName, Prefix: "/pufi791/", Kind: "non_idempotent", Service: serviceName, TimeoutMs: 3000, TargetRuntimeMs: 1000, Priority: 2, MaxAttempts: 2, Stretch: 2},
	}
}

// configure writes a version of the configuration, as the operator does.
func (s *system) configure(version int, routes []route) {
	s.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": serviceName, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Spare": false}},
		"Tenants":  s.tenants,
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.rec.note("operator", "version %d of the configuration is acknowledged", version)
}

// prepare writes the settings file.
func (n *node) prepare(storeAddress string) error {
	settings := map[string]any{
		"Node": n.name, "Role": "scheduler", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": n.ip, "Zone": n.zone, "Region": "valparaiso",
		"Zones":  map[string]string{"quillota": "valparaiso", "los-andes": "valparaiso", "san-felipe": "valparaiso"},
		"Listen": map[string]string{"Front": n.ip + ":8161", "Ready": n.ip + ":8167"}, "InternalPorts": []int{7720, 7735},
		"Seeds": []string{}, "Bootstrap": true, "LossCounts": false,
		"Limits":    map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": memoryMb, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1100, "Orders": "rpc",
		"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"},
		"Tolerate":  map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
			"ConfigMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "WarmupExcess": 1.5, "WarmupSlack": 5, "EvacuateMs": 5000, "RecoverS": 12,
			"HoldMaxMs": holdMax, "StopMs": 400, "GangMs": gangMs, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"FarX": 3, "SaveS": 0.5, "RestoreMs": 250, "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2, "RequireFencing": false, "LeaseMs": 3000, "ThawMs": 300, "PaceMs": 100, "HarmMs": 4000,
		},
		"platform": map[string]any{"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": historyS, "ValueBytes": valueBytes, "TtlMinMs": 1000},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	n.file = filepath.Join(n.sys.dir, n.name+".json")
	if err := os.WriteFile(n.file, encoded, 0o600); err != nil {
		return err
	}
	n.log, err = os.Create(filepath.Join(n.sys.dir, n.name+".log"))
	return err
}

// start starts the daemon with the command of the deploy file, and starts it again whenever it ends.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	n.launch()
}

func (n *node) launch() {
	cmd := exec.Command(filepath.Join(n.sys.root, "target/dotterscheduler"), "--admission")
	cmd.Dir = n.sys.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DOTTERELUSHER_BOOT=" + n.file}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.sys.rec.say(n.name, "did not start: %v", err)
		return
	}
	n.cmd, n.startAt = cmd, time.Now()
	n.sys.rec.note(n.name, "the daemon starts")
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cmd == cmd {
			n.cmd, n.ready = nil, false
		}
		n.sys.rec.note(n.name, "the daemon has ended: %v", err)
		if n.wanted {
			time.AfterFunc(time.Second, func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				if n.wanted && n.cmd == nil && !n.sys.closed {
					n.launch()
				}
			})
		}
	}()
}

// term sends SIGTERM, as before planned work; the platform starts the daemon again.
func (n *node) term() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sys.rec.say(n.name, "SIGTERM")
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// rss returns the memory of the daemon in MB, 0 if it does not run.
func (n *node) rss() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// guardMemory kills a process that exceeds MemoryMb, as the platform does.
func (s *system) guardMemory() {
	for !s.closed {
		for _, n := range s.nodes {
			mb := n.rss()
			n.peakMb = max(n.peakMb, mb)
			if mb > memoryMb {
				n.mu.Lock()
				if n.cmd != nil {
					n.kills++
					s.rec.say(n.name, "killed by the platform: its memory is %d MB, MemoryMb is %d", mb, memoryMb)
					_ = n.cmd.Process.Kill()
					n.cmd = nil
				}
				n.mu.Unlock()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// probe asks each node once a second whether it is ready.
func (s *system) probe() {
	for !s.closed {
		for _, n := range s.nodes {
			go func() {
				r, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.ip + ":8167/api/readyz")
				ok := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				n.mu.Lock()
				n.ready = ok
				n.mu.Unlock()
			}()
		}
		time.Sleep(time.Second)
	}
}

// owner returns the node that last wrote to the store under a condition: the one of the head.
func (s *system) owner() *node {
	var head struct{ Host string }
	_ = json.Unmarshal(s.store.get("Dotter/Head/all"), &head)
	for _, n := range s.nodes {
		if n.name == head.Host {
			return n
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready and there is an owner.
func (s *system) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := s.store.count("Dotter/Head/") == s.shards
		for _, n := range s.nodes {
			n.mu.Lock()
			all = all && n.ready
			n.mu.Unlock()
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// entry returns a node in rotation, or any.
func (s *system) entry() *node {
	var in []*node
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.ready {
			in = append(in, n)
		}
		n.mu.Unlock()
	}
	if len(in) == 0 {
		in = s.nodes
	}
	return in[rand.IntN(len(in))]
}

// call sends one request of a client and returns the status, 0 without an answer.
func (s *system) call(method, path string, body any) (int, map[string]any, string) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	n := s.entry()
	r, err := http.NewRequest(method, "http://"+n.ip+":8161"+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, n.name
	}
	r.Host = hostName
	r.Header.Set("Deadline-Ms", "3000")
	if s.key != "" {
		r.Header.Set("X-Api-Key", s.key)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(r)
	if err != nil {
		return 0, nil, n.name
	}
	defer func() { _ = answer.Body.Close() }()
	var fields map[string]any
	_ = json.NewDecoder(answer.Body).Decode(&fields)
	return answer.StatusCode, fields, n.name
}

// newJob returns a job with a new ID, which the minions know from then on.
func (s *system) newJob(prefix string, j job) *job {
	j.ID = fmt.Sprintf("%016x", rand.Uint64())
	j.Prefix = prefix
	j.Spec = "work of " + j.ID
	s.fleet.mu.Lock()
	s.fleet.jobs[j.ID] = &j
	s.fleet.mu.Unlock()
	return &j
}

// submit hands a job in, with the tries that clients make. It returns the last status.
func (s *system) submit(j *job) int {
	status := 0
	for try := 1; try <= 5; try++ {
		var node string
		status, _, node = s.call(http.MethodPost, j.Prefix+j.ID, j)
		s.rec.note("client", "POST %s%s (%d tasks) to %s: %d", j.Prefix, j.ID, j.tasks(), node, status)
		if status == 200 || status == 400 || status == 404 {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

func (j *job) tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n * max(1, j.Times)
}

// state asks for the job's state; it is the status if that is not 200.
func (s *system) state(j *job) string {
	status, fields, _ := s.call(http.MethodGet, j.Prefix+j.ID, nil)
	if status != 200 {
		return strconv.Itoa(status)
	}
	text, _ := fields["State"].(string)
	return text
}

// await waits until the job has the state, and returns the last one.
func (s *system) await(j *job, state string, limit time.Duration) string {
	end := time.Now().Add(limit)
	last := ""
	for time.Now().Before(end) {
		if now := s.state(j); now != last {
			s.rec.note("client", "GET %s%s: %s", j.Prefix, j.ID, now)
			last = now
		}
		if last == state {
			return last
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// close ends all processes and removes the temporary folder.
func (s *system) close() {
	s.closed = true
	for _, n := range s.nodes {
		n.mu.Lock()
		n.wanted = false
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept:", s.dir)
	}
}
