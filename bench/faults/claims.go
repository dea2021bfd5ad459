package faults

import (
	"context"
	"io"
	"net/http"
	"strings"

	"peardrift/bench/harness"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// writeClaimLayout writes a layout that applies to all dated keys at once. This is safe
// only because no configuration set is in force yet and no node accepts calls.
// Operators announce a layout two hours ahead.
func (l *Lab) writeClaimLayout(ctx context.Context) error {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = l.Fleet.URL, "lab", "lab" // the stand-in accepts any credentials
	table := awstable.New(cfg, "peardrift")
	defer table.Close()
	rows := batch.DefaultConfig()
	value, err := batch.Layouts{{From: 1, Slot: rows.Slot, Shards: rows.Shards}}.Encode()
	if err != nil {
		return err
	}
	item := port.Item{Key: batch.LayoutKey, Version: 1, Value: value, Token: "lab"}
	return table.Put(ctx, port.Put{Item: item})
}

// SharedClaimScenarios returns the scenarios that also run with claims in shared rows.
func SharedClaimScenarios() []Scenario {
	return []Scenario{
		{"node killed", nodeKilled},
		{"node frozen for 3 s", nodeFrozen},
		{"platform down for 3 s", platformDown},
		{"writes applied, answers lost", answersLost},
		{"node stopped in overload", stopInOverload},
		{"claims went between nodes", claimsForwarded},
	}
}

// claimsForwarded checks that the preceding scenarios exercised shared rows: at
// least one node sent a claim to the node that batches the row and got an answer.
func claimsForwarded(ctx context.Context, l *Lab) (Row, error) {
	for _, h := range l.Fleet.Hosts {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Addr.Ops+"/metrics", nil)
		if err != nil {
			return Row{}, status.Wrap(harness.CodeHarness, err, "metrics of %s", h.Name)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return Row{}, status.Wrap(harness.CodeHarness, err, "metrics of %s", h.Name)
		}
		page, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return Row{}, status.Wrap(harness.CodeHarness, err, "metrics of %s", h.Name)
		}
		if strings.Contains(string(page), `claims_batch_sent{result="answered"`) {
			return Row{}, nil
		}
	}
	return Row{}, status.New(CodeGuaranteeViolated, "no node forwarded a claim to another node")
}
