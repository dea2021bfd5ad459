// Package awstable implements port.Table on a DynamoDB-compatible table service
// with the official SDK.
//
// The table has one hash key, the string attribute "pk". A row's other attributes
// are "ver" (number), "val" (binary), "tok" (string) and, if the row may expire,
// "exp" (Unix seconds, rounded up).
//
// A Table is safe for concurrent use. Each call is attempted once, whatever
// happens; see awscall.Client.
package awstable

import (
	"context"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Attributes of a row and condition expressions of writes.
const (
	attrKey     = "pk"
	attrVersion = "ver"
	attrValue   = "val"
	attrToken   = "tok"
	attrExpires = "exp"

	condAbsent  = "attribute_not_exists(pk)"
	condVersion = "ver = :ver"
	condArg     = ":ver"
)

// MaxPuts limits the rows of one PutAll; it is the service's own limit.
const MaxPuts = 100

// Table implements port.Table.
type Table struct {
	name   string
	call   *awscall.Client
	client *dynamodb.Client
}

var _ port.Table = (*Table)(nil)

// New returns a client for the table of the given name.
func New(cfg awscall.Config, name string) *Table {
	call := awscall.New(cfg)
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		Region:       cfg.Region,
		Credentials:  call.Credentials,
		HTTPClient:   call.HTTP,
		Retryer:      call.Retryer,
	})
	return &Table{name: name, call: call, client: client}
}

// Close closes the idle connections.
func (t *Table) Close() { t.call.Close() }

// Get implements port.Table.
func (t *Table) Get(ctx context.Context, key string) (port.Item, error) {
	var out *dynamodb.GetItemOutput
	err := t.call.Do(ctx, awscall.Read, "get "+key, func(ctx context.Context) (err error) {
		out, err = t.client.GetItem(ctx, &dynamodb.GetItemInput{
			TableName:      &t.name,
			Key:            map[string]types.AttributeValue{attrKey: stringAttr(key)},
			ConsistentRead: aws.Bool(true),
		})
		return err
	})
	if err != nil {
		return port.Item{}, err
	}
	if len(out.Item) == 0 {
		return port.Item{}, status.New(port.ErrNotFound.Code, "no row %s", key)
	}
	return decodeItem(out.Item)
}

// Put implements port.Table.
func (t *Table) Put(ctx context.Context, p port.Put) error {
	if err := checkSize(p); err != nil {
		return err
	}
	cond, args := putCondition(p)
	return t.call.Do(ctx, awscall.Write, "put "+p.Item.Key, func(ctx context.Context) error {
		_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
			TableName:                 &t.name,
			Item:                      encodeItem(p.Item),
			ConditionExpression:       &cond,
			ExpressionAttributeValues: args,
		})
		return err
	})
}

// PutAll implements port.Table. It accepts at most MaxPuts rows, each at most
// once.
func (t *Table) PutAll(ctx context.Context, ps []port.Put) error {
	if len(ps) == 0 {
		return nil
	}
	if len(ps) > MaxPuts {
		return status.New(status.CodeTooLarge, "%d rows in one write, limit is %d", len(ps), MaxPuts)
	}
	items := make([]types.TransactWriteItem, 0, len(ps))
	for _, p := range ps {
		if err := checkSize(p); err != nil {
			return err
		}
		cond, args := putCondition(p)
		items = append(items, types.TransactWriteItem{Put: &types.Put{
			TableName:                 &t.name,
			Item:                      encodeItem(p.Item),
			ConditionExpression:       &cond,
			ExpressionAttributeValues: args,
		}})
	}
	return t.call.Do(ctx, awscall.Write, "put "+ps[0].Item.Key+" and others", func(ctx context.Context) error {
		_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
		return err
	})
}

func checkSize(p port.Put) error {
	if len(p.Item.Value) > port.MaxValue {
		return status.New(status.CodeTooLarge, "row %s has %d bytes, limit is %d", p.Item.Key, len(p.Item.Value), port.MaxValue)
	}
	return nil
}

func putCondition(p port.Put) (string, map[string]types.AttributeValue) {
	if p.IfVersion == 0 {
		return condAbsent, nil
	}
	return condVersion, map[string]types.AttributeValue{condArg: numberAttr(p.IfVersion)}
}

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func encodeItem(it port.Item) map[string]types.AttributeValue {
	m := map[string]types.AttributeValue{
		attrKey:     stringAttr(it.Key),
		attrVersion: numberAttr(it.Version),
		attrValue:   &types.AttributeValueMemberB{Value: it.Value},
		attrToken:   stringAttr(it.Token),
	}
	if !it.Expires.IsZero() {
		// Rounded up to the next second: the service must not remove the row early.
		m[attrExpires] = numberAttr(it.Expires.Add(time.Second - 1).Unix())
	}
	return m
}

func decodeItem(m map[string]types.AttributeValue) (port.Item, error) {
	var it port.Item
	key, okKey := m[attrKey].(*types.AttributeValueMemberS)
	version, okVersion := m[attrVersion].(*types.AttributeValueMemberN)
	value, okValue := m[attrValue].(*types.AttributeValueMemberB)
	token, okToken := m[attrToken].(*types.AttributeValueMemberS)
	if !okKey || !okVersion || !okValue || !okToken {
		return it, status.New(status.CodeProtocol, "row was not written by this version: attributes are missing or have unexpected types")
	}
	n, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return it, status.Wrap(status.CodeProtocol, err, "version of row %s", key.Value)
	}
	it = port.Item{Key: key.Value, Version: n, Value: value.Value, Token: token.Value}
	if exp, ok := m[attrExpires].(*types.AttributeValueMemberN); ok {
		sec, err := strconv.ParseInt(exp.Value, 10, 64)
		if err != nil {
			return it, status.Wrap(status.CodeProtocol, err, "expiry of row %s", key.Value)
		}
		it.Expires = time.Unix(sec, 0)
	}
	return it, nil
}
