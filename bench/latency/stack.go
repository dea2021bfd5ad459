package latency

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"peardrift/bench/standin/platform"
	"peardrift/bench/standin/target"
	"peardrift/internal/cli"
	"peardrift/internal/node"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Stack is a chain of nodes with lean targets in this process, and the same
// targets once more without nodes.
type Stack struct {
	dir      string
	platform *platform.Server
	targets  []*LeanTarget
	stop     context.CancelFunc
	kill     context.CancelFunc
	nodes    sync.WaitGroup
	gen      *generator
	through  door
	direct   door
}

// stackTime bounds the start of a stack.
const stackTime = time.Minute

// NewStack starts a stack of one target for each service of the chain.
func NewStack() (*Stack, error) {
	s := &Stack{platform: platform.New(), gen: newGenerator()}
	ctx, stop := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	s.stop, s.kill = stop, end
	if err := s.start(ctx, kill); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends all that the stack runs.
func (s *Stack) Close() {
	s.stop()
	s.kill()
	s.nodes.Wait()
	for _, t := range s.targets {
		_ = t.Close()
	}
	s.gen.client.Close()
	_ = s.platform.Close()
	_ = os.RemoveAll(s.dir)
}

func (s *Stack) start(ctx, kill context.Context) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "peardrift-stack-"); err != nil {
		return status.Wrap(status.CodeInternal, err, "folder of the stack")
	}
	if err := s.platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := s.startDirect(); err != nil {
		return err
	}
	var ops []string
	for i := range Depth {
		set, err := s.startHost(ctx, kill, i)
		if err != nil {
			return err
		}
		ops = append(ops, set.Listen.Ops)
		// Requests enter at the last node, so that none is its own callee.
		s.through = door{set.Listen.Callers, first()}
	}
	if err := s.apply(); err != nil {
		return err
	}
	return s.await(ops)
}

// startDirect starts the targets without nodes, the last of the chain first.
func (s *Stack) startDirect() error {
	urls := make(map[string][]string)
	for i := Depth - 1; i >= 0; i-- {
		cfg := leanConfig(i)
		cfg.Direct = urls
		t, err := StartLean(cfg)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		urls[cfg.Service] = []string{"http://" + t.Addr()}
		s.direct = door{t.Addr(), first()}
	}
	return nil
}

func leanConfig(i int) target.Config {
	svc := chain(1, 0).Services[i]
	cfg := target.DefaultConfig(serviceName(i + 1))
	cfg.Routes = svc.Routes
	return cfg
}

// portTries bounds the tries to start a host. Its ports are free when they are
// chosen; another process may take one before the node listens.
const portTries = 5

func (s *Stack) startHost(ctx, kill context.Context, i int) (set settings.Settings, err error) {
	for range portTries {
		set, err = s.tryHost(ctx, kill, i)
		if err == nil || status.CodeOf(err) != status.CodeListen {
			return set, err
		}
	}
	return set, err
}

func (s *Stack) tryHost(ctx, kill context.Context, i int) (settings.Settings, error) {
	set := settings.Default()
	ports, err := freePorts(portsOfNode)
	if err != nil {
		return set, err
	}
	cfg := leanConfig(i)
	cfg.Node = "http://" + ports[2]
	t, err := StartLean(cfg)
	if err != nil {
		return set, err
	}
	s.targets = append(s.targets, t)
	set.Node = settings.Node{Name: cfg.Service, Region: "r", Zone: "a"}
	set.Target.Service, set.Target.Address = cfg.Service, t.Addr()
	set.Listen = settings.Listen{Callers: ports[0], Nodes: ports[1], Target: ports[2], Control: ports[3], Ops: ports[4]}
	set.Platform.Table.Endpoint, set.Platform.Objects.Endpoint = s.platform.URL(), s.platform.URL()
	set.Platform.AccessKey, set.Platform.SecretKey = "bench", "bench"
	set.Logs.File = filepath.Join(s.dir, "log")
	set.Shutdown.Announce = time.Millisecond
	n, err := node.New(set, nil)
	if err != nil {
		return set, err
	}
	s.nodes.Go(func() { _ = n.Run(ctx, kill) })
	return set, nil
}

// apply submits the chain's set by the operators' tool.
func (s *Stack) apply() error {
	if err := writeSet(s.dir); err != nil {
		return err
	}
	key := filepath.Join(s.dir, "key")
	if err := os.WriteFile(key, []byte("bench"), 0o600); err != nil {
		return status.Wrap(status.CodeInternal, err, "write the key")
	}
	file := filepath.Join(s.dir, "platform.yaml")
	url := s.platform.URL()
	text := "platform:\n  table:\n    endpoint: " + url + "\n  objects:\n    endpoint: " + url +
		"\n  accessKeyFile: " + key + "\n  secretKeyFile: " + key + "\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return status.Wrap(status.CodeInternal, err, "write the settings")
	}
	nodes := cli.NewRPCNodes()
	defer nodes.Close()
	code := cli.Run(context.Background(), []string{"apply", "--platform", file, "--base", "0", filepath.Join(s.dir, "examples", tenant)},
		cli.Env{Stdout: os.Stderr, Stderr: os.Stderr, Open: cli.OpenPlatform, Nodes: nodes})
	if code != cli.ExitOK {
		return status.New(status.CodeInternal, "peardrift apply ended with %d", code)
	}
	return nil
}

// await waits until all nodes are ready and both ways answer.
func (s *Stack) await(ops []string) error {
	end := time.Now().Add(stackTime)
	for _, addr := range ops {
		for !ready(addr) {
			if time.Now().After(end) {
				return status.New(status.CodeNotReady, "the node at %s is not ready", addr)
			}
			time.Sleep(stackPoll)
		}
	}
	for s.Through(PathChain) != "" || s.Direct(PathChain) != "" {
		if time.Now().After(end) {
			return status.New(status.CodeNotReady, "the chain does not answer")
		}
		time.Sleep(stackPoll)
	}
	return nil
}

const stackPoll = 20 * time.Millisecond

func ready(addr string) bool {
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Through sends a request through the nodes and returns the code of what kept
// it from completing, empty if nothing did.
func (s *Stack) Through(path string) status.Code {
	return s.gen.send(context.Background(), s.through, path)
}

// Direct sends the same request to the targets without nodes.
func (s *Stack) Direct(path string) status.Code {
	return s.gen.send(context.Background(), s.direct, path)
}
