package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"snipehub.example/ticket"
)

// rule says which values a key may have. Its text ends the error "must be ...",
// and stands in the docs.
type rule struct {
	text string
	ok   func(v reflect.Value) bool
}

// anything is for keys whose values are checked together with others.
var anything = rule{"", func(reflect.Value) bool { return true }}

// name is for names that become part of ids, metrics and paths.
var name = rule{
	"letters, digits and dashes, at most 64",
	func(v reflect.Value) bool { return ticket.ValidName(v.String()) },
}

// address is for addresses that others reach this process at.
var address = rule{
	"an address such as 127.0.0.1:7400, with a port",
	func(v reflect.Value) bool { return isAddress(v.Interface().(netip.AddrPort)) },
}

// ownAddress is for an address that is told to others: 0.0.0.0 would lead each
// of them to itself.
var ownAddress = rule{
	"an address such as 10.0.0.7:7500 that other dispatchers reach, not 0.0.0.0",
	func(v reflect.Value) bool {
		a := v.Interface().(netip.AddrPort)
		return isAddress(a) && !a.Addr().IsUnspecified()
	},
}

// noAddress is for addresses that may be left out.
var noAddress = rule{
	"empty, or " + address.text,
	func(v reflect.Value) bool { return v.IsZero() || address.ok(v) },
}

var addresses = rule{
	"a list of addresses such as 10.0.0.7:7500",
	func(v reflect.Value) bool {
		return !slices.ContainsFunc(v.Interface().([]netip.AddrPort), func(a netip.AddrPort) bool { return !isAddress(a) })
	},
}

var ports = rule{
	"a list of ports above 0",
	func(v reflect.Value) bool { return !slices.Contains(v.Interface().([]uint16), 0) },
}

func isAddress(a netip.AddrPort) bool { return a.IsValid() && a.Port() > 0 }

func oneOf(values ...string) rule {
	return rule{
		"one of " + strings.Join(values, ", "),
		func(v reflect.Value) bool { return slices.Contains(values, v.String()) },
	}
}

// between is for numbers from low to high.
func between(low, high float64) rule {
	return rule{
		fmt.Sprintf("from %s to %s", number(low), number(high)),
		func(v reflect.Value) bool {
			f := float(v)
			return f >= low && f <= high
		},
	}
}

// lasting is for durations from low to high.
func lasting(low, high time.Duration) rule {
	return rule{
		fmt.Sprintf("from %s to %s", short(low), short(high)),
		func(v reflect.Value) bool {
			d := v.Interface().(Duration).D()
			return d >= low && d <= high
		},
	}
}

func float(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	}
	return v.Float()
}

func number(f float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%f", f), ".000000")
}

// short writes 2m0s as 2m.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
