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

// rule defines the valid values of a key. The requirement completes the error
// message "must be ..." and is shown in the documentation.
type rule struct {
	requirement string
	valid       func(v reflect.Value) bool
}

// anyValue accepts every value. It is for booleans, and for keys that
// checkConsistency checks or that have no restriction.
var anyValue = rule{"", func(reflect.Value) bool { return true }}

// identifier is for names that become part of ids, metrics and paths.
var identifier = rule{
	"letters, digits and dashes, at most 64",
	func(v reflect.Value) bool { return ticket.ValidName(v.String()) },
}

// requiredAddress is for addresses that must be set, with a port.
var requiredAddress = rule{
	"an address such as 127.0.0.1:7400, with a port",
	func(v reflect.Value) bool { return hasPort(v.Interface().(netip.AddrPort)) },
}

// advertisedAddress is for an address that is advertised to other dispatchers. With
// 0.0.0.0, each of them would connect to itself.
var advertisedAddress = rule{
	"an address such as 10.0.0.7:7500 that other dispatchers reach, not 0.0.0.0",
	func(v reflect.Value) bool {
		a := v.Interface().(netip.AddrPort)
		return hasPort(a) && !a.Addr().IsUnspecified()
	},
}

// optionalAddress is for addresses that may be empty.
var optionalAddress = rule{
	"empty, or " + requiredAddress.requirement,
	func(v reflect.Value) bool { return v.IsZero() || requiredAddress.valid(v) },
}

var addressList = rule{
	"a list of addresses such as 10.0.0.7:7500",
	func(v reflect.Value) bool {
		return !slices.ContainsFunc(v.Interface().([]netip.AddrPort), func(a netip.AddrPort) bool { return !hasPort(a) })
	},
}

var portList = rule{
	"a list of ports above 0",
	func(v reflect.Value) bool { return !slices.Contains(v.Interface().([]uint16), 0) },
}

func hasPort(a netip.AddrPort) bool { return a.IsValid() && a.Port() > 0 }

func oneOf(values ...string) rule {
	return rule{
		"one of " + strings.Join(values, ", "),
		func(v reflect.Value) bool { return slices.Contains(values, v.String()) },
	}
}

// numberBetween accepts numbers from low to high, both included.
func numberBetween(low, high float64) rule {
	return rule{
		fmt.Sprintf("from %s to %s", formatNumber(low), formatNumber(high)),
		func(v reflect.Value) bool {
			f := toFloat(v)
			return f >= low && f <= high
		},
	}
}

// durationBetween accepts durations from low to high, both included.
func durationBetween(low, high time.Duration) rule {
	return rule{
		fmt.Sprintf("from %s to %s", formatDuration(low), formatDuration(high)),
		func(v reflect.Value) bool {
			d := v.Interface().(Duration).D()
			return d >= low && d <= high
		},
	}
}

func toFloat(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	}
	return v.Float()
}

func formatNumber(f float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%f", f), ".000000")
}

// formatDuration formats d without trailing zero units: 2m instead of 2m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
