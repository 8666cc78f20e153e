package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/gen/celerystep/peer/v1/peerv1connect"
	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/operator"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/platform/platformtest"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDown = errors.New("service is down")

// world is a key-value service in memory with three instances that serve operators over loopback.
type world struct {
	t         *testing.T
	store     *platformtest.Store
	instances []*node
	listed    []platform.InstanceEntry
	operation int
	connect   func(Connection) (*Services, error)
}

// node is one instance: a real keeper, trail and operator service; everything else is left out.
type node struct {
	world  *world
	info   instance.Info
	keeper *config.Keeper
	trail  *audit.Trail
	server *httptest.Server
	home   upstream.GroupID
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: platformtest.NewStore()}
	w.connect = w.inMemory
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 3 {
		n := w.start(ctx, &wg, i, w.store, nil)
		w.instances = append(w.instances, n)
		w.listed = append(w.listed, platform.InstanceEntry{Info: n.info})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, n := range w.instances {
			n.server.Close()
		}
	})
	return w
}

// start runs one instance over the store; its operators' address uses TLS when a configuration is given.
func (w *world) start(ctx context.Context, wg *sync.WaitGroup, i int, store platform.Store, secure *tls.Config) *node {
	log := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	n := &node{world: w, info: instance.Info{ID: instance.ID(fmt.Sprintf("mu-%d", i)), FailureDomain: "a"}}
	n.trail = audit.NewTrail(audit.Options{Self: n.info, Peers: n, Store: store, Log: log, Start: time.Now()})
	n.keeper = config.NewKeeper(config.KeeperOptions{
		Self: n.info.ID, Store: store, Gossip: n, Membership: n, Audit: n.trail, Log: log, Seed: uint64(i),
	})
	mux := http.NewServeMux()
	mux.Handle(operator.NewHandler(operator.Options{Status: n, Trail: n.trail, Keys: n.keeper, Switcher: n, Log: log}))
	n.server = httptest.NewUnstartedServer(mux)
	if n.server.TLS = secure; secure != nil {
		n.server.StartTLS()
	} else {
		n.server.Start()
	}
	if err := operator.Publish(ctx, store, n.info.ID, n.address(), time.Now()); err != nil {
		w.t.Fatal(err)
	}
	wg.Go(func() { _ = n.keeper.Run(ctx) })
	return n
}

func (n *node) address() string { return n.server.Listener.Addr().String() }

// Live implements the membership: all instances are watchers.
func (n *node) Live() []instance.Info {
	var out []instance.Info
	for i := range 3 {
		out = append(out, instance.Info{ID: instance.ID(fmt.Sprintf("mu-%d", i)), FailureDomain: "a"})
	}
	return out
}

func (n *node) StoreAudit(context.Context, instance.ID, []audit.Record) error { return errDown }
func (n *node) Announce(uint64, config.Hash)                                  {}
func (n *node) AnnounceRevocations(list []config.Revocation) {
	for _, other := range n.world.instances {
		go other.keeper.HeardRevocations(list)
	}
}
func (n *node) FetchChunk(context.Context, instance.ID, config.Hash) ([]byte, error) {
	return nil, errDown
}

func (n *node) Status() operator.Status {
	s := operator.Status{Instance: n.info.ID, FailureDomain: n.info.FailureDomain, Phase: operator.PhaseServing, Config: n.keeper.Ref()}
	s.Revocations = n.keeper.Revocations()
	if n.home != "" {
		s.Homes = []operator.Home{{Group: n.home, Generation: 4, Primary: "m1", Term: 2}}
	}
	return s
}

func (n *node) Switchover(_ context.Context, g upstream.GroupID, to upstream.MemberID, _ string) (upstream.MemberID, position.Term, error) {
	if g != n.home {
		return "", 0, operator.ErrNotHome
	}
	return to, 3, nil
}

// Instances implements platform.Directory.
func (w *world) Instances(context.Context) ([]platform.InstanceEntry, error) { return w.listed, nil }

// run executes a command line and returns exit code, standard output and standard error.
func (w *world) run(args ...string) (int, string, string) {
	var out, fail bytes.Buffer
	env := Environment{
		Out: &out, Err: &fail, Now: time.Now, IssueKey: IssueKey,
		Getenv: func(name string) string { return map[string]string{"USER": "amelie"}[name] },
		NewOperationID: func() string {
			w.operation++
			return fmt.Sprintf("op-%d", w.operation)
		},
		Connect: w.connect,
	}
	code := Run(w.t.Context(), env, args)
	return code, out.String(), fail.String()
}

// inMemory connects to the store in memory and, in plain text, to the instances.
func (w *world) inMemory(Connection) (*Services, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Services{
		Store: w.store, Directory: w, Close: transport.CloseIdleConnections,
		Operators: func(address string) peerv1connect.OperatorServiceClient {
			return peerv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, "http://"+address)
		},
	}, nil
}

// must runs a command line that succeeds and returns its output.
func (w *world) must(args ...string) string {
	w.t.Helper()
	code, out, fail := w.run(args...)
	if code != ExitOK {
		w.t.Fatalf("%v: exit code %d\n%s%s", args, code, out, fail)
	}
	return out
}

// await waits for a condition with a generous deadline.
func (w *world) await(holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.t.Fatal("the condition did not come true in 30 s")
		}
	}
}

// initialised returns a world whose first configuration is in force.
func initialised(t *testing.T) *world {
	w := newWorld(t)
	out := w.must("--wait=10s", "config", "init", "../../examples/kestrel/cluster.json")
	if !strings.Contains(out, "in force on 3 of 3 instances") {
		t.Fatal(out)
	}
	return w
}

// Guards against a command that changes something else than it says, or that reports success before the change is in
// force on all instances.
func TestCommandsChangeConfiguration(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	steps := []struct{ command, want string }{
		{"customer add tea-estates --ordinary 20:40:1 --peak 10:20:1 --maintenance 5:10:1", "customer tea-estates: added with 0 keys"},
		{"route add tea orders --customer tea-estates", "route tea: added for group orders"},
		{"route add tea orders --customer port-louis-cold-stores", "route tea: customer port-louis-cold-stores allowed"},
		{"customer set-contract tea-estates peak --rate 12.5 --share 2", "customer tea-estates: contract peak: rate 10/s -> 12.5/s"},
		{"preset set peak", "preset: ordinary -> peak"},
		{"domain out mu-north-b", "failure domain mu-north-b: in -> out"},
		{"domain in mu-north-b", "failure domain mu-north-b: out -> in"},
		{"upstream set orders --slots 4", "group orders: slots 3 -> 4"},
		{"upstream add orders --member m4=10.20.9.9:5432@mu-north-a", "group orders: member m4 added at 10.20.9.9:5432"},
		{"upstream set orders m4 --state leaving", "group orders: member m4: active -> leaving"},
		{"upstream remove orders m4", "group orders: member m4 removed"},
		{"upstream add extra --member m1=10.20.9.1:1@mu-north-a --member m2=10.20.9.2:1@mu-north-b --member m3=10.20.9.3:1@mu-north-c --slots 2 --connections 9", "group extra: added with 3 members"},
		{"upstream remove extra", "group extra: removed"},
		{"route open tea tea-estates", "open to callers without a key as customer tea-estates"},
		{"route close tea", "closed to callers without a key"},
		{"route remove tea --customer port-louis-cold-stores", "route tea: customer port-louis-cold-stores no longer allowed"},
		{"customer remove tea-estates --from-routes", "customer tea-estates: removed"},
		{"route remove tea", "route tea: removed"},
	}
	for i, s := range steps {
		before := w.instances[0].keeper.Ref().Version
		dry := w.must(append([]string{"--dry-run"}, strings.Fields(s.command)...)...)
		is.True(strings.Contains(dry, s.want))
		is.Equal(w.instances[0].keeper.Ref().Version, before)
		out := w.must(strings.Fields(s.command)...)
		if !strings.Contains(out, s.want) || !strings.Contains(out, "in force on 3 of 3 instances") {
			t.Errorf("step %d %s:\n%s", i, s.command, out)
		}
		for _, n := range w.instances {
			is.Equal(n.keeper.Ref().Version, before+1)
		}
	}
	is.True(strings.Contains(w.must("preset", "set", "peak"), "nothing to change"))
	is.True(strings.Contains(w.must("config", "history"), "amelie"))
	is.True(strings.Contains(w.must("config", "diff", "--from", "1"), "preset: ordinary -> peak"))
	is.True(strings.Contains(w.must("customer", "list"), "meter-dashboards"))
	is.True(strings.Contains(w.must("domain", "list"), "mu-north-b"))
	is.True(strings.Contains(w.must("status"), "mu-2"))
	is.True(strings.Contains(w.must("wait", "0"), "in force on 3 of 3"))
	is.True(strings.Contains(w.must("explain"), "operator amelie took failure domain mu-north-b out"))
	is.True(strings.Contains(w.must("audit", "--output=json"), `"kind": "preset.changed"`))
}

// Guards against a secret that is lost or stored, and against a withdrawn key that works or comes back.
func TestKeys(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	out := w.must("key", "issue", "meter-dashboards", "spare")
	is.True(strings.Contains(out, "user:   meter-dashboards.spare\nsecret: csk_"))
	_, again, fail := w.run("key", "issue", "meter-dashboards", "spare", "--operation-id=op-2")
	is.True(!strings.Contains(again, "csk_"))
	is.True(strings.Contains(fail, "issued by an earlier run"))
	is.True(!strings.Contains(w.must("config", "show"), "csk_"))

	var result changeResult
	is.NoErr(json.Unmarshal([]byte(w.must("-o", "json", "key", "rotate", "meter-dashboards", "spare", "spare-2")), &result))
	is.True(strings.HasPrefix(result.Extra["secret"].(string), "csk_"))
	is.Equal(result.Confirmation.Confirmed, 3)
	w.must("key", "withdraw", "meter-dashboards", "spare")
	for _, n := range w.instances {
		_, ok := n.keeper.Snapshot().Key("meter-dashboards", "spare")
		is.True(!ok)
	}
	code, _, fail := w.run("key", "issue", "meter-dashboards", "spare")
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(fail, "was withdrawn; choose another name"))
	code, _, fail = w.run("key", "rotate", "meter-dashboards", "spare", "spare-3")
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(fail, `key "spare" of customer "meter-dashboards" is withdrawn`))
}

// Guards against the loss of another operator's change, and against a conflict that an operator cannot understand.
func TestConflict(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	w.must("preset", "set", "peak")
	code, _, fail := w.run("--base-version=1", "preset", "set", "maintenance")
	is.Equal(code, ExitConflict)
	for _, want := range []string{
		"made for version 1, but version 2 by amelie (operation op-2) is present",
		"changed meanwhile: preset: ordinary -> peak", "changed by both: preset: ordinary -> maintenance", "Nothing was changed",
	} {
		is.True(strings.Contains(fail, want))
	}
	file := filepath.Join(t.TempDir(), "old.json")
	is.NoErr(os.WriteFile(file, []byte(w.must("config", "show", "--version=1")), 0o600))
	code, _, _ = w.run("config", "apply", file)
	is.Equal(code, ExitConflict)

	raced := false
	w.store.SetHook(platformtest.Hook{Before: func(_ context.Context, c platformtest.Call) error {
		if c.Op == "swap" && c.Key == "config/root" && !raced {
			raced = true
			w.must("domain", "out", "mu-north-c")
		}
		return nil
	}})
	out := w.must("key", "withdraw", "meter-dashboards", "main") // made again on top of the other change
	is.True(strings.Contains(out, "accepted as version 4"))
	is.True(w.instances[0].keeper.Snapshot().DomainOut("mu-north-c"))
}

// Guards against unclear messages and exit codes when the key-value service fails, and against emergency revocations
// that need it.
func TestOutages(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	fail := func(op, key string) func(context.Context, platformtest.Call) error {
		return func(_ context.Context, c platformtest.Call) error {
			if strings.HasPrefix(c.Op, op) && strings.HasPrefix(c.Key, key) {
				return errDown
			}
			return nil
		}
	}
	w.store.SetHook(platformtest.Hook{Before: fail("", "")})
	code, _, text := w.run("preset", "set", "peak")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(text, "Nothing was changed. Traffic goes on without the service"))
	args := []string{"--timeout=2s"}
	for _, n := range w.instances {
		args = append(args, "--instance="+n.address())
	}
	out := w.must(append(args, "key", "withdraw", "--emergency", "meter-dashboards", "main")...)
	is.True(strings.Contains(out, "revoked on 3 of 3 instances"))
	_, ok := w.instances[2].keeper.Snapshot().Key("meter-dashboards", "main")
	is.True(!ok)

	w.store.SetHook(platformtest.Hook{Before: fail("swap", "config/root")})
	code, _, text = w.run("--timeout=1s", "preset", "set", "peak")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(text, "--operation-id op-2"))

	w.store.SetHook(platformtest.Hook{})
	w.await(func() bool { return w.instances[0].keeper.Ref().Version == 2 }) // the revocation is written to the store
	w.listed = append(w.listed, platform.InstanceEntry{Info: instance.Info{ID: "gone"}})
	code, _, text = w.run("--wait=300ms", "preset", "set", "peak", "--operation-id=op-2")
	is.Equal(code, ExitNotConfirmed)
	is.True(strings.Contains(text, "did not confirm it in time: gone"))
	for i := range 4 {
		w.listed = append(w.listed, platform.InstanceEntry{Info: instance.Info{ID: instance.ID(fmt.Sprint("gone", i))}})
	}
	code, _, text = w.run("preset", "set", "ordinary")
	is.Equal(code, ExitUnavailable)
	is.True(strings.Contains(text, "only 3 of 8 instances told their version in force"))
}

// Guards against a change on top of a store that lost accepted ones.
func TestStoreBehind(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	old := w.store.Snapshot()
	w.must("preset", "set", "peak")
	writes := platformtest.Hook{Before: func(_ context.Context, c platformtest.Call) error {
		if c.Op == "swap" {
			return errDown
		}
		return nil
	}}
	w.store.SetHook(writes)
	w.store.Restore(old)
	code, _, text := w.run("domain", "out", "mu-north-c")
	is.Equal(code, ExitBehind)
	is.True(strings.Contains(text, "holds version 1 while version 2 is in force"))
}

// Guards against a switchover at an instance that is not the home.
func TestSwitchover(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	code, _, text := w.run("switchover", "orders")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(text, `no instance says that it is the home of group "orders"`))
	w.instances[1].home = "orders"
	is.True(strings.Contains(w.must("switchover", "orders", "--target=m2"), "group orders: m2 leads in term 3"))
}

// Guards against wrong exit codes for mistakes of the operator.
func TestMistakes(t *testing.T) {
	is := is.New(t)
	w := initialised(t)
	cases := []struct {
		command string
		code    int
		want    string
	}{
		{"preset set summer", ExitUsage, "enum value must be one of ordinary,peak,maintenance"},
		{"customer add x --ordinary 1:1 --peak 1:1:1 --maintenance 1:1:1", ExitUsage, `--ordinary: "1:1" must be RATE:BURST:SHARE`},
		{"customer add x --ordinary 0:1:1 --peak 1:1:1 --maintenance 1:1:1", ExitInvalid, "contracts.ordinary.rate_per_second: is 0"},
		{"customer remove meter-dashboards", ExitInvalid, "allows customer"},
		{"domain out nowhere", ExitInvalid, `there is no failure domain "nowhere"`},
		{"upstream remove orders m1", ExitInvalid, `member "m1" must be leaving before it is removed`},
		{"upstream remove orders", ExitInvalid, `leads to group "orders"`},
		{"config init ../../examples/kestrel/cluster.json", ExitConflict, "version conflict"},
		{"config show --version=99", ExitFailed, "version 99 is not kept"},
		{"explain --since yesterday", ExitUsage, `"yesterday" is neither a duration`},
		{"--help", ExitOK, ""},
	}
	for _, c := range cases {
		code, _, text := w.run(strings.Fields(c.command)...)
		if code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%s: exit code %d, want %d; %s", c.command, code, c.code, text)
		}
	}
	code, _, text := w.run("-o", "json", "domain", "out", "nowhere")
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(text, `"exit_code":3`))
}
