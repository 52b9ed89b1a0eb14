package settings

import (
	"reflect"
)

// tag is the struct tag that names a key in the file.
const tag = "toml"

// leaves returns the value of every key, by the name that Keys has for it.
func leaves(c *Config) map[string]reflect.Value {
	out := make(map[string]reflect.Value)
	root := reflect.ValueOf(c).Elem()
	for i := range root.NumField() {
		section := root.Field(i)
		name := root.Type().Field(i).Tag.Get(tag)
		for j := range section.NumField() {
			out[name+"."+section.Type().Field(j).Tag.Get(tag)] = section.Field(j)
		}
	}
	return out
}
