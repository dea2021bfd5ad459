package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

const (
	targetPrefix     = "DynamoDB_20120810."
	errorPrefix      = "com.amazonaws.dynamodb.v20120810#"
	keyAttribute     = "pk"
	condAbsent       = "attribute_not_exists(pk)"
	maxTransactItems = 100
	reasonNone       = "None"
	reasonFailed     = "ConditionalCheckFailed"
	errCondition     = "ConditionalCheckFailedException"
	errCanceled      = "TransactionCanceledException"
	errValidation    = "ValidationException"
	errThrottled     = "ProvisionedThroughputExceededException"
	errDenied        = "AccessDeniedException"
)

// attr is one attribute value of the protocol.
type attr struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type row map[string]attr

func (r row) key() (string, bool) {
	s := r[keyAttribute].S
	if s == nil || *s == "" {
		return "", false
	}
	return *s, true
}

// tableWrite holds the fields that PutItem, DeleteItem and the items of a
// transaction have in common.
type tableWrite struct {
	TableName                 string
	Item                      row
	Key                       row
	ConditionExpression       string
	ExpressionAttributeValues map[string]attr
}

type tableCall struct {
	tableWrite
	TransactItems []struct {
		Put    *tableWrite
		Delete *tableWrite
	}
}

// failure is an error response of the protocol.
type failure struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

type reason struct{ Code, Message string }

func newFailure(errorType, message string) *failure {
	return &failure{Type: errorPrefix + errorType, Message: message}
}

type rowID struct{ table, key string }

// tables holds the rows of the table service.
type tables struct {
	mu   sync.Mutex
	rows map[rowID]row
}

// get handles GetItem.
func (t *tables) get(c tableCall) (any, *failure) {
	key, ok := c.Key.key()
	if !ok {
		return nil, newFailure(errValidation, "the key attribute is missing or empty")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := struct {
		Item row `json:"Item,omitempty"`
	}{t.rows[rowID{c.TableName, key}]}
	return out, nil
}

// writes returns the writes of a call; a delete has no Item.
func (c tableCall) writes(op string) ([]tableWrite, *failure) {
	var ws []tableWrite
	for _, it := range c.TransactItems {
		switch {
		case it.Put != nil:
			ws = append(ws, *it.Put)
		case it.Delete != nil:
			ws = append(ws, *it.Delete)
		}
	}
	if op != "TransactWriteItems" {
		return []tableWrite{c.tableWrite}, nil
	}
	if len(ws) == 0 || len(ws) > maxTransactItems || len(ws) != len(c.TransactItems) {
		return nil, newFailure(errValidation, "a transaction must have 1 to 100 puts or deletes")
	}
	return ws, nil
}

// write applies all of ws or none of them. It returns a cancellation reason for
// each write, "None" if its condition held.
func (t *tables) write(ws []tableWrite) ([]reason, *failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make(map[rowID]row, len(ws))
	reasons := make([]reason, 0, len(ws))
	for _, w := range ws {
		key, ok := w.Item.key()
		if w.Item == nil {
			key, ok = w.Key.key()
		}
		id := rowID{w.TableName, key}
		if _, duplicate := ids[id]; !ok || duplicate {
			return nil, newFailure(errValidation, "a key is missing or duplicated")
		}
		ids[id] = w.Item
		holds, known := w.checkCondition(t.rows[id])
		if !known {
			return nil, newFailure(errValidation, "unknown condition: "+w.ConditionExpression)
		}
		reasons = append(reasons, conditionReason(holds))
	}
	for _, r := range reasons {
		if r.Code != reasonNone {
			return reasons, newFailure(errCanceled, "a condition did not hold")
		}
	}
	for id, item := range ids {
		if item == nil {
			delete(t.rows, id)
		} else {
			t.rows[id] = item
		}
	}
	return reasons, nil
}

func conditionReason(holds bool) reason {
	if holds {
		return reason{Code: reasonNone}
	}
	return reason{Code: reasonFailed, Message: "The conditional request failed"}
}

// checkCondition evaluates the write's condition against the current row (nil: no
// row). It supports attribute_not_exists(pk) and "attribute = :argument"; known is
// false for any other expression.
func (w tableWrite) checkCondition(old row) (holds, known bool) {
	if w.ConditionExpression == "" {
		return true, true
	}
	if w.ConditionExpression == condAbsent {
		return old == nil, true
	}
	name, arg, ok := strings.Cut(w.ConditionExpression, " = ")
	want, given := w.ExpressionAttributeValues[arg]
	if !ok || !given {
		return false, false
	}
	return old != nil && old[name].equal(want), true
}

func (a attr) equal(b attr) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// serveTable handles one call of the table service.
func (s *Server) serveTable(op string, body []byte) reply {
	var c tableCall
	if err := json.Unmarshal(body, &c); err != nil {
		return tableReply(nil, newFailure(errValidation, err.Error()))
	}
	switch op {
	case "GetItem":
		s.state.update(func(c *Counters) { c.Reads++ })
		return tableReply(s.tables.get(c))
	case "PutItem", "DeleteItem", "TransactWriteItems":
		ws, f := c.writes(op)
		if f != nil {
			return tableReply(nil, f)
		}
		return s.writeTable(op, ws)
	default:
		return tableReply(nil, newFailure("UnknownOperationException", op))
	}
}

func (s *Server) writeTable(op string, ws []tableWrite) reply {
	reasons, f := s.tables.write(ws)
	s.state.update(func(c *Counters) {
		c.Writes++
		c.Items += int64(len(ws))
		if len(reasons) > 0 && f != nil {
			c.Conflicts++
		}
	})
	switch {
	case f == nil:
		r := tableReply(struct{}{}, nil)
		r.drop = s.state.recordWrite()
		return r
	case len(reasons) == 0:
		return tableReply(nil, f)
	case op == "TransactWriteItems":
		f.Reasons = reasons
		return tableReply(nil, f)
	default:
		return tableReply(nil, newFailure(errCondition, reasons[0].Message))
	}
}

func tableReply(v any, f *failure) reply {
	code := http.StatusOK
	if f != nil {
		code, v = http.StatusBadRequest, f
	}
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain strings and bytes always marshal
	}
	return reply{code: code, contentType: "application/x-amz-json-1.0", body: body}
}
