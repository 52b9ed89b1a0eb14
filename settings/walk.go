package settings

import (
	"reflect"
)

// tomlTag is the struct tag that holds the name of a section or key.
const tomlTag = "toml"

// valuesByKey returns the value of each key in c, indexed by Key.Name.
func valuesByKey(c *Config) map[string]reflect.Value {
	out := make(map[string]reflect.Value)
	root := reflect.ValueOf(c).Elem()
	for i := range root.NumField() {
		section := root.Field(i)
		sectionName := root.Type().Field(i).Tag.Get(tomlTag)
		for j := range section.NumField() {
			out[sectionName+"."+section.Type().Field(j).Tag.Get(tomlTag)] = section.Field(j)
		}
	}
	return out
}
