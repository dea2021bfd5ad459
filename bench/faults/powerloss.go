package faults

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
)

// allNodesKilled kills all nodes under steady load and restarts them together. It
// guards against a fleet that doesn't recover because each node waits for what only
// other nodes know. Its note gives what callers got in the first seconds, and when the
// nodes had what they need.
func allNodesKilled(ctx context.Context, l *Lab) (Row, error) {
	cs := classes(arrivalRate)
	limited := client.Class{Name: "limited", Host: "feed.lab", Path: "/feed", APIKey: labKey, Phases: cs[0].Phases}
	ld := l.startLoad(ctx, l.callerURLs("feed"), append(cs, limited))
	var restarted time.Time
	var needs *startNeeds
	row, err := ld.play(ctx, func() error {
		if err := ld.awaitCompleted(ctx, limited.Name, settledLimit); err != nil {
			return err
		}
		for _, h := range l.Fleet.Hosts {
			l.killNode(h)
		}
		return nil
	}, nil, func() error {
		restarted = time.Now()
		needs = l.watchStart(restarted)
		if err := l.startAllNodes(ctx); err != nil {
			return err
		}
		// The seconds that are measured must have passed.
		err := firstError(l.awaitAllReady(ctx), pause(ctx, time.Until(restarted.Add(measuredSpan)))())
		return firstError(err, ld.awaitCompleted(ctx, limited.Name, ld.completed(limited.Name)+healthyStreak))
	})
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	if err == nil {
		row.Note = ld.served(restarted) + "; " + needs.String()
	}
	return row, err
}

// settledLimit is the number of limited requests, 5 s of them, after which the division
// of rate limits has long been recorded at the platform as complete. A new fleet
// takes 15 s to its first grant, which isn't what the scenario measures.
const settledLimit = 5 * arrivalRate

// awaitCompleted waits until n requests of a class have completed.
func (ld *load) awaitCompleted(ctx context.Context, class string, n int) error {
	return await(ctx, class+" completes", func() bool { return ld.completed(class) >= n })
}

// completed returns how many requests of a class have completed.
func (ld *load) completed(class string) (n int) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, as := range ld.attempts {
		if a := as[len(as)-1]; a.Class == class && a.Result == client.Completed {
			n++
		}
	}
	return n
}

// measuredSpan is the time after the restart of all nodes that is measured, in steps of
// measuredStep.
const (
	measuredSpan = 4 * time.Second
	measuredStep = 2 * time.Second
)

// startAllNodes restarts all nodes at once.
func (l *Lab) startAllNodes(ctx context.Context) error {
	errs := make([]error, len(l.Fleet.Hosts))
	var wg sync.WaitGroup
	for i, h := range l.Fleet.Hosts {
		wg.Go(func() { errs[i] = l.startNode(ctx, h) })
	}
	wg.Wait()
	return firstError(errs...)
}

// served describes the share of the requests that arrived after a time and completed,
// and the codes of the others.
func (ld *load) served(from time.Time) string {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	sent, completed := map[int]int{}, map[int]int{}
	codes := map[int]map[string]int{}
	for _, as := range ld.attempts {
		at := as[0].At.Sub(from)
		if at < 0 || at >= measuredSpan || canceledAtEnd(as) {
			continue
		}
		step := int(at / measuredStep)
		sent[step]++
		if codes[step] == nil {
			codes[step] = map[string]int{}
		}
		if last := as[len(as)-1]; last.Result == client.Completed {
			completed[step]++
		} else {
			codes[step][last.Class+" "+last.Code]++
		}
	}
	var out []string
	for step := range int(measuredSpan / measuredStep) {
		var lost []string
		for _, code := range slices.Sorted(maps.Keys(codes[step])) {
			lost = append(lost, fmt.Sprintf("%s %d", code, codes[step][code]))
		}
		out = append(out, fmt.Sprintf("from %v: %.2f of %d (%s)", time.Duration(step)*measuredStep,
			float64(completed[step])/float64(max(1, sent[step])), sent[step], strings.Join(lost, ", ")))
	}
	return strings.Join(out, "; ")
}

// startNeeds holds when nodes that start had what they need to serve.
type startNeeds struct {
	mu    sync.Mutex
	times map[string][]time.Duration // by need, one for each node that has it
}

// watchStart polls the status of all nodes for the measured span.
func (l *Lab) watchStart(from time.Time) *startNeeds {
	n := &startNeeds{times: make(map[string][]time.Duration)}
	for _, h := range l.Fleet.Hosts {
		go n.watch(h, from, len(l.Fleet.Hosts), l.version)
	}
	return n
}

func (n *startNeeds) watch(h *harness.Host, from time.Time, nodes int, version int64) {
	seen := map[string]bool{}
	for time.Since(from) < measuredSpan {
		s, err := h.Status()
		at := time.Since(from)
		for need, ok := range map[string]bool{
			"1 answers": err == nil, "2 members": s.Members["alive"] == nodes, "3 members complete": s.Complete,
			"4 configuration": version != 0 && s.Versions["lab"] == version, "5 ready": s.Ready,
		} {
			if err == nil && ok && !seen[need] {
				seen[need] = true
				n.mu.Lock()
				n.times[need] = append(n.times[need], at)
				n.mu.Unlock()
			}
		}
		time.Sleep(pollInterval)
	}
}

// String returns the first and the last time of each need.
func (n *startNeeds) String() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, need := range slices.Sorted(maps.Keys(n.times)) {
		ts := n.times[need]
		out = append(out, fmt.Sprintf("%s %d nodes %d to %d ms", need[2:], len(ts), slices.Min(ts).Milliseconds(), slices.Max(ts).Milliseconds()))
	}
	return strings.Join(out, ", ")
}
