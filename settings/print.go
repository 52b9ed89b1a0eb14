package settings

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"strings"
)

// PrintDefaults writes the default settings as commented TOML. Keys without a
// default stand in it as comments, with an example.
func PrintDefaults(w io.Writer) error {
	cfg := Default()
	values := leaves(&cfg)
	var b bytes.Buffer
	last := ""
	for _, k := range keys {
		section, key, _ := strings.Cut(k.Name, ".")
		if section != last {
			fmt.Fprintf(&b, "\n# %s\n[%s]\n", sections[section], section)
			last = section
		}
		fmt.Fprintf(&b, "# %s\n", describe(k))
		if v := values[k.Name]; k.Example != "" && v.IsZero() {
			fmt.Fprintf(&b, "# %s = %s\n", key, k.Example)
		} else {
			fmt.Fprintf(&b, "%s = %s\n", key, literal(v))
		}
	}
	_, err := w.Write(bytes.TrimLeft(b.Bytes(), "\n"))
	return err
}

// describe returns text, unit and range of a key.
func describe(k Key) string {
	s := k.Text
	if k.Unit != "" {
		s += " Unit: " + k.Unit + "."
	}
	if k.rule.text != "" {
		s += " Must be " + k.rule.text + "."
	}
	return s
}

// literal writes a value as TOML has it.
func literal(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Duration:
		return fmt.Sprintf("%q", short(x.D()))
	case string:
		return fmt.Sprintf("%q", x)
	case netip.AddrPort:
		return fmt.Sprintf("%q", x)
	}
	return fmt.Sprint(v.Interface())
}

// Page returns docs/SETTINGS.md.
func Page() []byte {
	cfg := Default()
	values := leaves(&cfg)
	var b bytes.Buffer
	b.WriteString("# Settings\n\nThe settings of `snipehubd`, in TOML. `snipehubd --defaults` prints them with\ncomments, `snipehubd --check --config FILE` checks a file. An unknown key, a value\nout of range or a contradiction is one error that names file, key and reason, and\nexit code 2. This page follows the table in `settings/keys.go`.\n")
	last := ""
	for _, k := range keys {
		section, key, _ := strings.Cut(k.Name, ".")
		if section != last {
			fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| key | default | meaning |\n| --- | --- | --- |\n", section, sections[section])
			last = section
		}
		value := "none"
		if v := values[k.Name]; k.Example == "" || !v.IsZero() {
			value = "`" + literal(v) + "`"
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", key, value, describe(k))
	}
	return b.Bytes()
}
