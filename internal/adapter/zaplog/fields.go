package zaplog

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// maxTextBytes limits one external text in a line.
const maxTextBytes = 256

// Request is the field of a request's identity, which is its trace ID.
func Request(id request.ID) zap.Field { return zap.Stringer("request", id) }

// Name is the field of the caller's name for a request.
func Name(v string) zap.Field { return Text("name", v) }

// Version is the field of the configuration version that was applied.
func Version(v int64) zap.Field { return zap.Int64("version", v) }

// Level is the field of the admission threshold, as an importance.
func Level(l request.Level) zap.Field { return zap.Float64("refused_below", l.AsImportance()) }

// Truncated is the field of an answer that was passed on only in part: the reason.
func Truncated(reason string) zap.Field { return zap.String("truncated", reason) }

// LeftZone is the field of a call that went to another zone because the targets of the own
// one are short of capacity.
func LeftZone(left bool) zap.Field { return zap.Bool("left_zone", left) }

// CalleeLevel is the field of the admission threshold, as an importance, that an entry
// hop knew of its callee and the services downstream of it.
func CalleeLevel(l request.Level) zap.Field { return zap.Float64("known_below", l.AsImportance()) }

// Service is the field of a service.
func Service(s request.Service) zap.Field { return zap.String("service", string(s)) }

// Class is the field of a request class.
func Class(c request.Class) zap.Field { return zap.String("class", string(c)) }

// Importance is the importance that a request was judged with, which is higher than its
// class's for a request of the reserved fraction.
func Importance(i request.Importance) zap.Field { return zap.Uint8("importance", uint8(i)) }

// Organisation is the field of the calling organisation.
func Organisation(o request.Organisation) zap.Field { return zap.String("organisation", string(o)) }

// Detail is the field of the detailed reason for a refusal.
func Detail(text string) zap.Field { return zap.String("detail", text) }

// Tenant is the field of a tenant.
func Tenant(t request.Tenant) zap.Field { return zap.String("tenant", string(t)) }

// Target is the field of a target instance.
func Target(id request.TargetID) zap.Field { return zap.Stringer("target", id) }

// Outcome is the field of the outcome reported to the caller.
func Outcome(o request.Outcome) zap.Field { return zap.Stringer("outcome", o) }

// Key is the field of an idempotency key, as a hash: it identifies the lines of
// one key without exposing the key, which may contain personal data.
func Key(key string) zap.Field {
	return zap.String("key_hash", strconv.FormatUint(xxhash.Sum64String(key), 16))
}

// Text is a field whose value comes from outside, truncated to 256 bytes.
func Text(name, value string) zap.Field { return zap.String(name, truncate(value)) }

// Error adds the fields "code" and "error" of an error.
func Error(err error) zap.Field { return zap.Inline(errorFields{err}) }

type errorFields struct{ error }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f errorFields) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("code", string(status.CodeOf(f.error)))
	enc.AddString("error", truncate(f.Error()))
	return nil
}

func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "") + "…"
}
