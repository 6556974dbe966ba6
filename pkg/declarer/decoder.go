package declarer

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"
)

// DecodeTOML decodes data into the struct that target points to, by its toml
// tags, and returns all faults: unknown keys, values of the wrong type and
// durations without a unit. Fields that data omits keep their values. If data
// is not valid TOML, readable is false and nothing is decoded.
func DecodeTOML(file string, data []byte, target any) (faults []Fault, readable bool) {
	d := &strictDecoder{list: faultList{file: file}}
	var root map[string]any
	if _, err := toml.Decode(string(data), &root); err != nil {
		d.addSyntaxError(err)
		return d.list.sorted(), false
	}
	d.decodeTable("", root, reflect.ValueOf(target).Elem())
	return d.list.sorted(), true
}

// A strictDecoder copies decoded TOML into structs and reports all faults. The
// library stops at the first value of the wrong type.
type strictDecoder struct {
	list faultList
}

var durationType = reflect.TypeFor[Duration]()

func (d *strictDecoder) addSyntaxError(err error) {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		d.list.add("", "%v", err)
		return
	}
	d.list.add(parse.LastKey, "line %d: %s", parse.Position.Line, parse.Message)
}

func (d *strictDecoder) decodeTable(path string, source map[string]any, target reflect.Value) {
	fields := map[string]reflect.Value{}
	collectFields(target, fields)
	for _, key := range slices.Sorted(maps.Keys(source)) {
		field, ok := fields[key]
		if !ok {
			d.list.add(joinPath(path, key), "unknown key")
			continue
		}
		d.decodeValue(joinPath(path, key), source[key], field)
	}
}

func (d *strictDecoder) decodeValue(path string, source any, target reflect.Value) {
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, source, text, target.Type())
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(path, source, target.Elem())
	case reflect.Struct:
		if table, ok := source.(map[string]any); ok {
			d.decodeTable(path, table, target)
			return
		}
		d.list.add(path, "must be a table")
	case reflect.Slice:
		d.decodeSlice(path, source, target)
	default:
		d.decodeScalar(path, source, target)
	}
}

func (d *strictDecoder) decodeText(path string, source any, target encoding.TextUnmarshaler, kind reflect.Type) {
	text, ok := source.(string)
	switch {
	case !ok && kind == durationType:
		d.list.add(path, `must be a string with a unit, such as "30s"`)
	case !ok:
		d.list.add(path, "must be a string")
	default:
		if err := target.UnmarshalText([]byte(text)); err != nil {
			d.list.add(path, "%v", err)
		}
	}
}

func (d *strictDecoder) decodeSlice(path string, source any, target reflect.Value) {
	elements, ok := elementsOf(source)
	if !ok {
		d.list.add(path, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i, element := range elements {
		d.decodeValue(elementPath(path, i, elementName(element)), element, target.Index(i))
	}
}

func (d *strictDecoder) decodeScalar(path string, source any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if text, ok := source.(string); ok {
			target.SetString(text)
			return
		}
		d.list.add(path, "must be a string")
	case reflect.Bool:
		if flag, ok := source.(bool); ok {
			target.SetBool(flag)
			return
		}
		d.list.add(path, "must be true or false")
	case reflect.Int:
		if n, ok := source.(int64); ok && n >= math.MinInt32 && n <= math.MaxInt32 {
			target.SetInt(n)
			return
		}
		d.list.add(path, "must be a whole number")
	case reflect.Float64:
		switch n := source.(type) {
		case int64:
			target.SetFloat(float64(n))
		case float64:
			target.SetFloat(n)
		default:
			d.list.add(path, "must be a number")
		}
	default:
		panic(fmt.Sprintf("declarer: no TOML for %s", target.Type()))
	}
}

// collectFields finds the fields of a struct and of its embedded structs by
// their toml tags.
func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			collectFields(target.Field(i), fields)
			continue
		}
		if tag := field.Tag.Get("toml"); tag != "" && tag != "-" {
			fields[tag] = target.Field(i)
		}
	}
}

// elementsOf returns the elements of a TOML array or an array of tables.
func elementsOf(source any) (elements []any, ok bool) {
	switch source := source.(type) {
	case []any:
		return source, true
	case []map[string]any:
		for _, table := range source {
			elements = append(elements, table)
		}
		return elements, true
	}
	return nil, false
}

// elementName returns the name or the ID of a table, or an empty string.
func elementName(element any) string {
	table, _ := element.(map[string]any)
	for _, key := range []string{"name", "id"} {
		if name, ok := table[key].(string); ok {
			return name
		}
	}
	return ""
}

// elementPath returns the path of a list element, which ends in the name of the
// element or, if it has none, in its position starting at 1.
func elementPath(path string, i int, name string) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", path, i+1)
	}
	return joinPath(path, name)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
