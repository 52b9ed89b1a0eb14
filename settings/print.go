package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"strings"
)

// PrintDefaults writes the default settings as TOML with comments. A key without a
// default is commented out and shows an example value.
func PrintDefaults(w io.Writer) error {
	cfg := Default()
	values := valuesByKey(&cfg)
	var b bytes.Buffer
	lastSection := ""
	for _, k := range keys {
		section, key, _ := strings.Cut(k.Name, ".")
		if section != lastSection {
			fmt.Fprintf(&b, "\n# %s\n[%s]\n", sectionTitles[section], section)
			lastSection = section
		}
		fmt.Fprintf(&b, "# %s\n", describe(k))
		if v := values[k.Name]; k.Example != "" && v.IsZero() {
			fmt.Fprintf(&b, "# %s = %s\n", key, k.Example)
		} else {
			fmt.Fprintf(&b, "%s = %s\n", key, tomlLiteral(v))
		}
	}
	_, err := w.Write(bytes.TrimLeft(b.Bytes(), "\n"))
	return err
}

// describe returns the description, unit and permitted values of a key.
func describe(k Key) string {
	s := k.Description
	if k.Unit != "" {
		s += " Unit: " + k.Unit + "."
	}
	if k.rule.requirement != "" {
		s += " Must be " + k.rule.requirement + "."
	}
	return s
}

// tomlLiteral formats a value as a TOML literal.
func tomlLiteral(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Duration:
		return fmt.Sprintf("%q", formatDuration(x.D()))
	case string:
		return fmt.Sprintf("%q", x)
	case netip.AddrPort:
		return fmt.Sprintf("%q", x)
	}
	return fmt.Sprint(v.Interface())
}

// Page returns the content of docs/SETTINGS.md.
func Page() []byte {
	cfg := Default()
	values := valuesByKey(&cfg)
	var b bytes.Buffer
	b.WriteString("# Settings\n\nThe settings of `snipehubd`, in TOML. `snipehubd --defaults` prints them with\ncomments, `snipehubd --check --config FILE` checks a file. An unknown key, a value\nout of range or a contradiction is one error that names file, key and reason, and\nexit code 2. This page follows the table in `settings/keys.go`.\n")
	lastSection := ""
	for _, k := range keys {
		section, key, _ := strings.Cut(k.Name, ".")
		if section != lastSection {
			fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| key | default | meaning |\n| --- | --- | --- |\n", section, sectionTitles[section])
			lastSection = section
		}
		value := "none"
		if v := values[k.Name]; k.Example == "" || !v.IsZero() {
			value = "`" + tomlLiteral(v) + "`"
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", key, value, describe(k))
	}
	return b.Bytes()
}
