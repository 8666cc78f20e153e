// Command kit-3 plays the scripts of the cases 11 to 15: it starts the project's instances as processes, with stand-ins of the platform, of a
// database group and of consumers, and compares what consumers were told with what the members ran.
//
//	kit-3 SCENARIO FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const (
	program    = "target/celerystep-instance"
	callerPort = "8465"
	readyPort  = "8460"
	startLimit = 30 * time.Second
	// runLimit bounds a run. All processes that were started end with this one.
	runLimit    = 110 * time.Second
	answerLimit = 10 * time.Second
)

// zones are the failure domains; each has one member and one instance.
var zones = []string{"north-a", "north-b", "north-c"}

// words are the names and the messages of the platform.
type words struct {
	Boot         string         `json:"boot"`
	Token        string         `json:"token"`
	ConfigKey    string         `json:"config_key"`
	ServerPrefix string         `json:"server_prefix"`
	ClaimPrefix  string         `json:"claim_prefix"`
	ReadyPath    string         `json:"ready_path"`
	Limit        string         `json:"code_limit"`
	Settings     map[string]any `json:"settings"`
	Config       map[string]any `json:"config"`
	Entry        map[string]any `json:"entry"`
}

// fill returns the message with its placeholders replaced. A text that is a placeholder takes the type of the value.
func fill(message any, values map[string]any) any {
	switch m := message.(type) {
	case map[string]any:
		out := make(map[string]any, len(m))
		for k, v := range m {
			out[k] = fill(v, values)
		}
		return out
	case []any:
		out := make([]any, len(m))
		for i, v := range m {
			out[i] = fill(v, values)
		}
		return out
	case string:
		if v, ok := values[m]; ok {
			return v
		}
		for name, v := range values {
			m = strings.ReplaceAll(m, name, fmt.Sprint(v))
		}
		return m
	default:
		return m
	}
}

// bed is a fleet of three instances with its stand-ins.
type bed struct {
	words   words
	trouble bool
	dir     string
	store   *platformtest.Store
	group   *group
	nodes   []*node
	started time.Time

	mu  sync.Mutex
	out *bufio.Writer
	// held are the session values of the consumer when it sent a statement, by the statement's id.
	held map[string]map[string]string
	// opened counts the sessions of a consumer.
	opened map[string]int
	acks   []ack
}

// ack is a commit or a single write that a consumer was told to have succeeded.
type ack struct {
	id string
	at time.Time
}

// node is one process of the program.
type node struct {
	name, ip, zone string
	b              *bed
	cmd            *exec.Cmd
	exited         chan struct{}
}

type cannotRun struct{ err error }

func (b *bed) must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.out, "%8.3f  "+format+"\n", append([]any{time.Since(b.started).Seconds()}, args...)...)
}

// configure writes the next version of the configuration.
func (b *bed) configure(version, sync int, guest string) {
	b.store.Put(b.words.ConfigKey, fill(b.words.Config, map[string]any{"$VERSION": version, "$SYNC": sync, "$GUEST": guest}))
}

func newBed(folder string, sync int) *bed {
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), held: make(map[string]map[string]string), opened: make(map[string]int)}
	raw, err := os.ReadFile("review/kit-3/words.json")
	b.must(err)
	b.must(json.Unmarshal(raw, &b.words))
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	b.must(err)
	b.out = bufio.NewWriter(f)
	b.dir, err = os.MkdirTemp("", "celerystep-review-")
	b.must(err)
	b.store = platformtest.NewStore()
	b.configure(1, sync, "key-guest")
	b.group = newGroup(b, sync)
	for i, zone := range zones {
		n := &node{b: b, name: fmt.Sprintf("frontend-%s-%d", zone, i), ip: platformtest.LoopbackIP()}
		n.zone = zone
		n.writeSettings(true)
		b.nodes = append(b.nodes, n)
		n.start()
	}
	b.await("the fleet is ready", func() bool {
		for _, n := range b.nodes {
			if !n.ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	return b
}

func (b *bed) await(what string, ok func() bool) {
	for end := time.Now().Add(startLimit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cannotRun{errors.New("did not happen: " + what)})
		}
	}
	b.record("%s", what)
}

func (b *bed) close() {
	for _, n := range b.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	_ = b.out.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}

// writeSettings writes the settings file; first is true when the whole fleet starts for the first time.
func (n *node) writeSettings(first bool) {
	settings, err := json.Marshal(fill(n.b.words.Settings, map[string]any{
		"$NODE": n.name, "$IP": n.ip, "$ZONE": n.zone, "$STORE": n.b.store.Address(), "$FIRST": first,
		"$CLOUD": strings.TrimPrefix(n.b.group.cloud.URL, "http://"),
	}))
	n.b.must(err)
	n.b.must(os.WriteFile(filepath.Join(n.b.dir, n.name+".json"), settings, 0o600))
}

// restart kills the process and starts it again, as the platform does.
func (n *node) restart() {
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.writeSettings(false)
	n.start()
}

func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.b.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.b.must(err)
	cmd := exec.Command(program, "run")
	cmd.Env = []string{n.b.words.Boot + "=" + filepath.Join(n.b.dir, n.name+".json"), "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.b.must(cmd.Start())
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		n.b.record("process of %s ended: %v", n.name, cmd.ProcessState)
		close(exited)
	}()
}

func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + net.JoinHostPort(n.ip, readyPort) + n.b.words.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the instance that owns the group.
func (b *bed) owner() *node {
	value := string(b.store.Value(b.words.ClaimPrefix + "ledger"))
	for _, n := range b.nodes {
		if strings.Contains(value, `"`+n.name+`"`) {
			return n
		}
	}
	panic(cannotRun{errors.New("the group has no owner")})
}

// consumer is one session of a caller.
type consumer struct {
	b      *bed
	name   string
	conn   net.Conn
	r      *bufio.Reader
	values map[string]string
	tries  int
	number int
	// quiet leaves the texts of statements out of the record.
	quiet bool
}

func (b *bed) connect(n *node, name, database, key string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp4", net.JoinHostPort(n.ip, callerPort), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &consumer{b: b, name: name, conn: conn, r: bufio.NewReaderSize(conn, 32<<10), values: make(map[string]string)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("START was answered %q, %v", line, err)
	}
	return c, nil
}

// sessions returns a number of attempts that the consumer's earlier sessions have not used.
func (b *bed) sessions(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened[name]++
	return 1000 * b.opened[name]
}

// dial connects and gives up if that fails.
func (b *bed) dial(n *node, name, database string) *consumer {
	c, err := b.connect(n, name, database, "key-mill")
	b.must(err)
	return c
}

// next begins another attempt.
func (c *consumer) next() {
	c.tries++
	c.number = 0
}

// do sends a statement of the present attempt and returns its answer and its id.
func (c *consumer) do(text string) (platformtest.Answer, string) {
	c.number++
	id := fmt.Sprintf("%s-%d.%d", c.name, c.tries, c.number)
	c.b.mu.Lock()
	c.b.held[id] = maps.Clone(c.values)
	c.b.mu.Unlock()
	if c.quiet {
		c.b.record("%s sends %s, %d bytes", c.name, id, len(text))
	} else {
		c.b.record("%s sends %s %q", c.name, id, text)
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	_, _ = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	a := platformtest.ReadAnswer(c.r)
	c.b.record("%s gets for %s: code %q receipt %q rows %q state %q broken %t", c.name, id, a.Code, a.Receipt, a.Rows, a.State, a.Broken)
	return a, id
}

// reader reads with a key until stop is closed, in a new session each time, and calls served for each read that succeeds.
func (b *bed) reader(name string, n *node, key string, stop chan struct{}, served func(id string, sent time.Time)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		c, err := b.connect(n, name, "orders", key)
		if err != nil {
			continue
		}
		c.tries = b.sessions(name)
		sent := time.Now()
		if a, id := c.do("READ x"); a.OK() {
			served(id, sent)
		}
		_ = c.conn.Close()
	}
}

// set sets a session value.
func (c *consumer) set(name, value string) {
	if a, _ := c.do("SET " + name + " " + value); a.OK() {
		c.values[name] = value
	}
}

// acknowledged records that the commit or single write succeeded.
func (b *bed) acknowledged(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acks = append(b.acks, ack{id, time.Now()})
}

// checkValues finds a statement that runs with other session values than those that its consumer was told to have.
func (b *bed) checkValues(g *group, id string, values map[string]string) {
	b.mu.Lock()
	want, known := b.held[id]
	b.mu.Unlock()
	if !known {
		g.find(fmt.Sprintf("%s runs, but no consumer sent it", id))
		return
	}
	if !maps.Equal(want, values) {
		g.find(fmt.Sprintf("%s runs with the session values %v, but its consumer has %v", id, values, want))
	}
}

// checkAcknowledged returns the acknowledged commits that the log lacks.
func (b *bed) checkAcknowledged() (missing []string) {
	for _, a := range b.acks {
		if !b.group.holds(a.id) {
			missing = append(missing, a.id)
			b.record("MISSING %s was acknowledged at %.3f, and the log of the primary lacks it", a.id, a.at.Sub(b.started).Seconds())
		}
	}
	return missing
}

// scenarios play the cases. Each returns whether the rule was broken.
var scenarios = make(map[string]func(folder string) (*bed, bool))

func main() {
	// The processes are ended with the thread that started them.
	runtime.LockOSThread()
	time.AfterFunc(runLimit, func() {
		fmt.Println("cannot run: not done in time")
		os.Exit(2)
	})
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-3 SCENARIO FOLDER")
		return 2
	}
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			fmt.Println("cannot run:", c.err)
			status = 2
		}
	}()
	b, broken := scenarios[os.Args[1]](os.Args[2])
	defer b.close()
	if broken {
		fmt.Println("the rule was broken; see", filepath.Join(os.Args[2], "record.txt"))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
