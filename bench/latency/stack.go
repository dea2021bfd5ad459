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

// Stack is a chain of nodes with lean targets in this process, plus the same chain of
// targets without nodes.
type Stack struct {
	dir          string
	platform     *platform.Server
	targets      []*LeanTarget
	stop         context.CancelFunc
	kill         context.CancelFunc
	nodes        sync.WaitGroup
	gen          *generator
	throughNodes endpoint
	direct       endpoint
}

// startTimeout is the timeout for the start of a stack.
const startTimeout = time.Minute

// NewStack starts a stack with one target per service of the chain.
func NewStack() (*Stack, error) {
	s := &Stack{platform: platform.New(), gen: newGenerator()}
	ctx, stop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	s.stop, s.kill = stop, cancelKill
	if err := s.start(ctx, kill); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close stops all parts of the stack.
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
		return status.Wrap(status.CodeInternal, err, "create the directory of the stack")
	}
	if err := s.platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := s.startDirect(); err != nil {
		return err
	}
	var ops []string
	for i := range ChainDepth {
		set, err := s.startHost(ctx, kill, i)
		if err != nil {
			return err
		}
		ops = append(ops, set.Listen.Ops)
		// Requests enter at the node of the last service, so that no node calls itself.
		s.throughNodes = endpoint{set.Listen.Callers, firstService()}
	}
	if err := s.applySet(); err != nil {
		return err
	}
	return s.awaitReady(ops)
}

// startDirect starts the targets without nodes, from the last to the first.
func (s *Stack) startDirect() error {
	urls := make(map[string][]string)
	for i := ChainDepth - 1; i >= 0; i-- {
		cfg := leanConfig(i)
		cfg.Direct = urls
		t, err := StartLean(cfg)
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
		urls[cfg.Service] = []string{"http://" + t.Addr()}
		s.direct = endpoint{t.Addr(), firstService()}
	}
	return nil
}

func leanConfig(i int) target.Config {
	svc := chain(1, 0).Services[i]
	cfg := target.DefaultConfig(serviceName(i + 1))
	cfg.Routes = svc.Routes
	return cfg
}

// maxStartAttempts is the maximum number of attempts to start a host: another process may
// take one of its free ports before the node listens on it.
const maxStartAttempts = 5

func (s *Stack) startHost(ctx, kill context.Context, i int) (set settings.Settings, err error) {
	for range maxStartAttempts {
		set, err = s.tryStartHost(ctx, kill, i)
		if err == nil || status.CodeOf(err) != status.CodeListen {
			return set, err
		}
	}
	return set, err
}

func (s *Stack) tryStartHost(ctx, kill context.Context, i int) (settings.Settings, error) {
	set := settings.Default()
	ports, err := freePorts(portsPerNode)
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

// applySet submits the chain's configuration set with the command-line tool.
func (s *Stack) applySet() error {
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
		return status.New(status.CodeInternal, "peardrift apply exited with code %d", code)
	}
	return nil
}

// awaitReady waits until all nodes are ready and requests complete both directly and
// through nodes.
func (s *Stack) awaitReady(ops []string) error {
	deadline := time.Now().Add(startTimeout)
	for _, addr := range ops {
		for !isReady(addr) {
			if time.Now().After(deadline) {
				return status.New(status.CodeNotReady, "the node at %s is not ready", addr)
			}
			time.Sleep(pollInterval)
		}
	}
	for s.SendThroughNodes(PathChain) != "" || s.SendDirect(PathChain) != "" {
		if time.Now().After(deadline) {
			return status.New(status.CodeNotReady, "the chain does not answer")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

const pollInterval = 20 * time.Millisecond

func isReady(addr string) bool {
	resp, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// SendThroughNodes sends a request through the nodes. It returns an empty code if the request
// completed, else the code of the failure.
func (s *Stack) SendThroughNodes(path string) status.Code {
	return s.gen.send(context.Background(), s.throughNodes, path)
}

// SendDirect sends the same request to the targets without nodes.
func (s *Stack) SendDirect(path string) status.Code {
	return s.gen.send(context.Background(), s.direct, path)
}
