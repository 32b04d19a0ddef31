package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// route is a route of the operator's configuration.
type route struct {
	Name, Host, Prefix, Kind, Service                          string
	TimeoutMs, TargetRuntimeMs, Priority, MaxAttempts, Version int `json:",omitempty"`
	Stretch                                                    float64
}

// world is a small deployment: the store, minions, nodes of the system and clients.
type world struct {
	rec     *record
	store   *store
	truth   *truth
	gangs   *gangs
	minions []*minion
	nodes   []*node
	routes  []route
	trouble bool
	dir     string
	root    string

	mu     sync.Mutex
	jobs   map[string]*job
	filter func(m *minion, path string, o order, late func()) bool // whether a call to a minion passes; nil: all do
	random *rand.Rand
}

// node is a process of the system.
type node struct {
	world              *world
	name, ip, zone     string
	front, ready, link string
	settings           string
	process            *exec.Cmd
	done               chan struct{}
	log                *os.File
	store              string
	trouble            atomic.Value // what happens to its calls to the store
}

func newWorld(root, folder string, trouble bool) (*world, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, store: newStore(), gangs: &gangs{by: map[string]*gang{}}, trouble: trouble, dir: dir, root: root,
		jobs: map[string]*job{}, random: rand.New(rand.NewSource(time.Now().UnixNano()))}
	w.truth = &truth{world: w, runs: map[string][]*started{}}
	return w, nil
}

// passes applies the filter of the case to a call of a minion.
func (w *world) passes(m *minion, path string, o order, late func()) bool {
	w.mu.Lock()
	f := w.filter
	w.mu.Unlock()
	return f == nil || f(m, path, o, late)
}

func (w *world) setFilter(f func(m *minion, path string, o order, late func()) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.filter = f
}

func (w *world) jobOf(task string) *job {
	id, _, _, _, _ := split(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// stepOf returns the step of a task, or nil if no client sent such a job.
func (w *world) stepOf(task string) *step {
	j := w.jobOf(task)
	_, _, s, index, ok := split(task)
	if j == nil || !ok || s >= len(j.Steps) || index >= j.Steps[s].Count {
		return nil
	}
	return j.Steps[s]
}

// outcome returns how a run of a task ends.
func (w *world) outcome(task string, number int) string {
	if j := w.jobOf(task); j.fails != nil && number <= j.fails[task] {
		return "failed"
	}
	return "done"
}

// configure writes the operator's configuration.
func (w *world) configure(version int, guards bool, routes ...route) {
	w.routes = routes
	services, seen := []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"Name": r.Service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "RejectsOverload": guards})
		}
	}
	w.store.put("op/config", map[string]any{"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	w.rec.line("operator: configuration %d acknowledged", version)
}

// addMinion starts a minion.
func (w *world) addMinion(service, zone, kind, rack string, capacity room, guards bool) (*minion, error) {
	m := &minion{world: w, id: fmt.Sprintf("i-%08x", w.random.Uint32()), zone: zone, service: service, kind: kind, rack: rack, capacity: capacity, guards: guards}
	w.minions = append(w.minions, m)
	return m, m.start()
}

// Ports of nodes lie below those that the kernel gives to outgoing connections, so that a node can listen on its own again.
const (
	firstPort = 12000
	lastPort  = 28000
)

// freePorts returns n ports that are free on ip.
func (w *world) freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for try := 0; len(ports) < n; try++ {
		port := firstPort + w.random.Intn(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			if try > 1000 {
				return nil, err
			}
			continue
		}
		defer func() { _ = l.Close() }() // until all are chosen
		ports = append(ports, port)
	}
	return ports, nil
}

// addNode makes a node of the system, with an address of its own on the loopback net.
func (w *world) addNode(name, zone string) (*node, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+w.random.Intn(250), 1+w.random.Intn(250), 1+w.random.Intn(250))
	n := &node{world: w, name: name, ip: ip, zone: zone, settings: filepath.Join(w.dir, name+".json")}
	ports, err := w.freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	if n.store, err = w.store.listen(ip, func() string { how, _ := n.trouble.Load().(string); return how }); err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	n.front, n.ready, n.link = address(0), address(1), address(2)
	settings := map[string]any{
		"Node": name, "Role": "scheduler", "MachineClass": "edge", "Serves": []string{"edge"}, "Ip": ip, "Zone": zone, "Region": "r",
		"Zones": map[string]string{"za": "r", "zb": "r"}, "Listen": map[string]string{"Front": n.front, "Ready": n.ready},
		"InternalPorts": []int{ports[2], ports[2]}, "Seeds": []string{}, "Bootstrap": true, "LossCounts": false,
		"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"},
		"Tolerate":  map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigMs": 2000,
			"RollbackSlackMs": 250, "MaxStretchMs": 5000, "WarmupExcess": 1.5, "WarmupSlack": 5, "EvacuateMs": 5000, "RecoverS": 12, "HoldMaxMs": holdMax.Milliseconds(), "StopMs": stopTime.Milliseconds(),
			"GangMs": gangWait.Milliseconds(), "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "FarX": 1.5, "SaveS": 0.5, "RestoreMs": 100, "NoticeMs": 4500,
			"MoveS": 1.5, "UpkeepS": 2, "RequireFencing": false, "LeaseMs": 3000, "ThawMs": 300, "PaceMs": 100, "HarmMs": 4000},
		"Orders": "rpc", "Advice": "",
		"platform": map[string]any{"Address": n.store, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, os.WriteFile(n.settings, raw, 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	if n.log == nil {
		f, err := os.Create(filepath.Join(n.world.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = f
	}
	c := exec.Command("target/dotterscheduler", "--admission")
	c.Dir, c.Stdout, c.Stderr = n.world.root, n.log, n.log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOTTERELUSHER_BOOT=" + n.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.process, n.done = c, make(chan struct{})
	n.world.rec.line("node %s: started", n.name)
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.done)
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.world.rec.line("node %s: %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startNodes starts all nodes and waits until they are ready.
func (w *world) startNodes() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			time.Sleep(3 * time.Second) // until a host owns the shard and knows all minions
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d nodes are ready", ready)
		}
	}
}

// owner returns the node whose name the head of any shard holds, or nil.
func (w *world) owner() *node { return w.ownerOf("") }

// ownerOf returns the node whose name the head of the shard holds, of any shard if that is empty, or nil.
func (w *world) ownerOf(shard string) *node {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for key, i := range w.store.items {
		if !strings.HasPrefix(key, "Dotter/Head/"+shard) {
			continue
		}
		var head struct{ Host string }
		if json.Unmarshal(i.Value, &head) == nil {
			for _, n := range w.nodes {
				if n.name == head.Host {
					return n
				}
			}
		}
	}
	return nil
}

// close ends all processes of the case.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.process == nil {
			continue
		}
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		<-n.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call sends a request of a client to a node, and returns the status, 0 without an answer.
func (w *world) call(n *node, method string, r route, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+n.front+r.Prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = r.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	c := http.Client{Timeout: 3 * time.Second}
	answer, err := c.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, raw
}

// submit hands a job in, with up to five tries at the nodes in turn. It reports whether it was accepted.
func (w *world) submit(r route, j *job) bool {
	w.mu.Lock()
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", w.random.Uint64())
	}
	j.route = r
	w.jobs[j.id] = j
	first := w.random.Intn(len(w.nodes))
	w.mu.Unlock()
	for try := range 5 {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, _ := w.call(n, http.MethodPost, r, j.id, j.body())
		w.rec.line("client: POST %s at %s: %d", j.id, n.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks a node for the state of a job. It is empty without an answer, and "gone" after a 410.
func (w *world) state(n *node, j *job) string {
	status, raw := w.call(n, http.MethodGet, j.route, j.id, nil)
	var body struct{ State string }
	switch {
	case status == http.StatusGone:
		return "gone"
	case status != http.StatusOK || json.Unmarshal(raw, &body) != nil:
		return ""
	}
	return body.State
}

// stateAnywhere asks the nodes in turn until one answers.
func (w *world) stateAnywhere(j *job) string {
	for _, n := range w.nodes {
		if s := w.state(n, j); s != "" {
			return s
		}
	}
	return ""
}

// cancel cancels a job; it reports whether that was acknowledged.
func (w *world) cancel(j *job) bool {
	for try := range 5 {
		n := w.nodes[try%len(w.nodes)]
		status, _ := w.call(n, http.MethodDelete, j.route, j.id, nil)
		w.rec.line("client: DELETE %s at %s: %d", j.id, n.name, status)
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
	}
	return false
}
