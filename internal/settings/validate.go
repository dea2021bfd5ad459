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
)

// newValidator returns the validator with the checks that the struct tags of
// this package name.
var newValidator = sync.OnceValue(func() *validator.Validate {
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

// isAddress reports whether s is an IP address with a port of at least
// minPort. Host names are refused: nodes have no resolver to rely on, and a
// name that resolves anew could move a listener or a peer unnoticed.
func isAddress(s string, minPort uint16) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() >= minPort
}

// isService reports whether s is "service.tenant".
func isService(v *validator.Validate, s string) bool {
	service, tenant, ok := strings.Cut(s, ".")
	return ok && !strings.Contains(tenant, ".") &&
		v.Var(service, "hostname_rfc1123") == nil && v.Var(tenant, "hostname_rfc1123") == nil
}

// validate returns all that is wrong with the values of s.
func validate(s *Settings) []Problem {
	ps := append(violations(s), distinctListeners(s.Listen)...)
	ps = append(ps, reachable(s)...)
	return append(ps, appendable(s)...)
}

// Check returns what is wrong with settings that no file holds, but for their
// section platform, which they don't use. Its failure is an *Invalid.
func Check(s *Settings) error {
	ps := slices.DeleteFunc(validate(s), func(p Problem) bool {
		return strings.HasPrefix(p.Field, platformKey+".")
	})
	if len(ps) > 0 {
		return invalid("settings", ps)
	}
	if s.Node.Instance == "" {
		s.Node.Instance = s.Node.Name
	}
	return nil
}

// violations returns what the tags of a struct's fields forbid.
func violations(section any) []Problem {
	var fields validator.ValidationErrors
	if !errors.As(newValidator().Struct(section), &fields) {
		return nil
	}
	var ps []Problem
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		ps = append(ps, Problem{Field: path, Message: message(f)})
	}
	return ps
}

// message says in words what a check expects.
func message(f validator.FieldError) string {
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

// distinctListeners finds listeners that take each other's address. The
// second to open would fail, or, with one of them on all addresses, callers
// could end up at a listener that trusts them.
func distinctListeners(l Listen) []Problem {
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
			both := a.field == "listen.target" && b.field == "listen.callers" && a.addr == b.addr
			if overlap(a.addr, b.addr) && !both {
				ps = append(ps, Problem{Field: a.field, Message: fmt.Sprintf("takes the address of %s, %q", b.field, b.addr)})
			}
		}
	}
	return ps
}

func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() || x.Port() == 0 {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// reachable finds advertised addresses that other nodes couldn't call. Such a
// node would join and look healthy to itself, while each call to it fails.
func reachable(s *Settings) []Problem {
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
