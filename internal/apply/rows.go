package apply

import (
	"encoding/json"
	"fmt"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// sharesKey is the key of the share ledger's row.
const sharesKey = "config/shares"

func headKey(t request.Tenant) string { return "config/" + string(t) + "/head" }

// historyKey zero-pads the version so that rows sort by version in the platform's tools.
func historyKey(t request.Tenant, version int64) string {
	return fmt.Sprintf("config/%s/history/%012d", t, version)
}

func objectName(t request.Tenant, d configset.Digest) string {
	return "config/" + string(t) + "/" + d.String()
}

// Record describes one accepted version of a tenant's set.
type Record struct {
	Tenant  request.Tenant
	Version int64
	Digest  configset.Digest
	Object  string    // name in the object store
	Bytes   int       // size of the canonical encoding
	Share   float64   // the tenant's share in this version
	By      string    // who applied it, as given to the command-line tool
	At      time.Time // from the operator's clock; informational, never used for ordering
	Token   string    // identifies the deciding write
}

// record is the value of head and history rows.
type record struct {
	Digest string    `json:"digest"`
	Object string    `json:"object"`
	Bytes  int       `json:"bytes"`
	Share  float64   `json:"share"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// ledger is the value of the share ledger's row.
type ledger struct {
	Shares map[request.Tenant]float64 `json:"shares"`
}

func encodeRow(key string, version int64, token string, value any) (port.Item, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return port.Item{}, status.Wrap(status.CodeInternal, err, "encode row %s", key)
	}
	if len(body) > port.MaxValue {
		return port.Item{}, status.New(status.CodeTooLarge, "row %s has %d bytes, at most %d", key, len(body), port.MaxValue)
	}
	return port.Item{Key: key, Version: version, Value: body, Token: token}, nil
}

func decodeRow(it port.Item, value any) error {
	if err := json.Unmarshal(it.Value, value); err != nil {
		return status.Wrap(status.CodeProtocol, err, "row %s", it.Key)
	}
	return nil
}

// decodeRecord decodes a head or history row of the given version.
func decodeRecord(t request.Tenant, version int64, it port.Item) (Record, error) {
	var r record
	if err := decodeRow(it, &r); err != nil {
		return Record{}, err
	}
	digest, err := configset.ParseDigest(r.Digest)
	if err != nil {
		return Record{}, err
	}
	return Record{
		Tenant: t, Version: version, Digest: digest, Object: r.Object, Bytes: r.Bytes,
		Share: r.Share, By: r.By, At: r.At, Token: it.Token,
	}, nil
}
