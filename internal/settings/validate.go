package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"peardrift/internal/core/request"
)

// settingsValidator returns the validator with the custom checks named in this package's
// struct tags.
var settingsValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	checks := map[string]validator.Func{
		"ipport":  func(f validator.FieldLevel) bool { return isAddress(f.Field().String(), 1) },
		"ipport0": func(f validator.FieldLevel) bool { return isAddress(f.Field().String(), 0) },
		"service": func(f validator.FieldLevel) bool { return isService(v, f.Field().String()) },
	}
	for tag, check := range checks {
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(err) // a mistake in the table above
		}
	}
	return v
})

// isAddress reports whether s is an IP address with a port of at least minPort. Host names
// are rejected: nodes can't rely on a resolver, and a name that resolves differently could
// move a listener or a peer unnoticed.
func isAddress(s string, minPort uint16) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() >= minPort
}

// isService reports whether s has the form "service.tenant". Sets that are accepted
// elsewhere may name services as they like.
func isService(v *validator.Validate, s string) bool {
	service := request.Service(s)
	return v.Var(service.Label(), "required,printascii,excludes= ") == nil &&
		v.Var(string(service.Tenant()), "required,hostname_rfc1123") == nil
}

// validate returns all problems of the values of s.
func validate(s *Settings) []Problem {
	ps := append(violations(s), checkDistinctListeners(s.Listen)...)
	ps = append(ps, checkAdvertised(s)...)
	return append(ps, checkAppendable(s)...)
}

// Check validates settings that don't come from a file. It ignores their section platform,
// which is unused, and sets Node.Instance if it is empty. Its error is an *Invalid.
func Check(s *Settings) error {
	ps := slices.DeleteFunc(validate(s), func(p Problem) bool {
		return strings.HasPrefix(p.Field, platformKey+".")
	})
	if len(ps) > 0 {
		return newInvalid("settings", ps)
	}
	if s.Node.Instance == "" {
		s.Node.Instance = s.Node.Name
	}
	return nil
}

// violations returns the problems found by the validation tags of a struct.
func violations(section any) []Problem {
	var fields validator.ValidationErrors
	if !errors.As(settingsValidator().Struct(section), &fields) {
		return nil
	}
	var ps []Problem
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		ps = append(ps, Problem{Field: path, Message: violationMessage(f)})
	}
	return ps
}

// violationMessage describes what a failed check expects.
func violationMessage(f validator.FieldError) string {
	var want string
	switch f.Tag() {
	case "required":
		return "is required"
	case "ipport":
		want = "an IP address with a port, such as 10.0.0.1:7401"
	case "ipport0":
		want = "an IP address with a port, 0 for any free one"
	case "service":
		want = `a service as "service.tenant"`
	case "min":
		want = "at least " + f.Param()
	case "max":
		want = "at most " + f.Param()
	case "oneof":
		want = "one of " + f.Param()
	case "http_url":
		want = "an http or https URL"
	case "startswith":
		want = "a path that starts with " + f.Param()
	case "gtfield":
		want = "more than " + strings.ToLower(f.Param())
	case "unique":
		return "has the same value twice"
	default:
		want = "printable ASCII without spaces"
	}
	return fmt.Sprintf("must be %s, is %q", want, fmt.Sprint(f.Value()))
}

// checkDistinctListeners returns a problem for each listener whose address overlaps with
// another's. The second one to open would fail, or, if one listens on all addresses,
// callers could reach a listener that trusts them.
func checkDistinctListeners(l Listen) []Problem {
	all := []struct{ field, addr string }{
		{"listen.callers", l.Callers},
		{"listen.nodes", l.Nodes},
		{"listen.target", l.Target},
		{"listen.control", l.Control},
		{"listen.ops", l.Ops},
		{"listen.reports", l.Reports},
		{"listen.ready", l.Ready},
	}
	var ps []Problem
	for i, a := range all {
		for _, b := range all[:i] {
			shared := a.field == "listen.target" && b.field == "listen.callers" && a.addr == b.addr
			if addressesOverlap(a.addr, b.addr) && !shared {
				ps = append(ps, Problem{Field: a.field, Message: fmt.Sprintf("takes the address of %s, %q", b.field, b.addr)})
			}
		}
	}
	return ps
}

func addressesOverlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() || x.Port() == 0 {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// checkAdvertised returns a problem for each advertised address that other nodes can't
// call. With one, a node would join and consider itself healthy while each call to it
// fails.
func checkAdvertised(s *Settings) []Problem {
	pairs := []struct{ field, advertise, listen string }{
		{"advertise.data", s.Advertise.Data, s.Listen.Nodes},
		{"advertise.control", s.Advertise.Control, s.Listen.Control},
	}
	var ps []Problem
	for _, p := range pairs {
		addr := p.advertise
		if addr == "" {
			addr = p.listen
		}
		if a, err := netip.ParseAddrPort(addr); err == nil && a.Addr().IsUnspecified() {
			ps = append(ps, Problem{Field: p.field, Message: fmt.Sprintf("must be an address that other nodes can call, is %q", addr)})
		}
	}
	return ps
}
