package parser

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

var (
	settingsDuration = reflect.TypeFor[resolver.Duration]()
	plainDuration    = reflect.TypeFor[time.Duration]()
)

// decode stores a value in target. A value that cannot be decoded becomes a finding,
// and its target keeps its previous value.
func (d *document) decode(value hujson.Value, target reflect.Value, at path) {
	d.values[at] = value.StartOffset
	switch {
	case target.Kind() == reflect.Pointer:
		d.decodePointer(value, target, at)
	case target.Type() == settingsDuration, target.Type() == plainDuration:
		d.decodeDuration(value, target, at)
	case isText(target):
		d.decodeText(value, target, at)
	default:
		d.decodeKind(value, target, at)
	}
}

func (d *document) decodeKind(value hujson.Value, target reflect.Value, at path) {
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(value, target, at)
	case reflect.Map:
		d.decodeMap(value, target, at)
	case reflect.Slice:
		d.decodeSlice(value, target, at)
	case reflect.String:
		if literal, ok := d.literal(value, '"', "a string", at); ok {
			target.SetString(literal.String())
		}
	case reflect.Bool:
		d.decodeBool(value, target, at)
	default:
		d.decodeNumber(value, target, at)
	}
}

func (d *document) decodePointer(value hujson.Value, target reflect.Value, at path) {
	fresh := reflect.New(target.Type().Elem())
	d.decode(value, fresh.Elem(), at)
	if !d.broken[at] {
		target.Set(fresh)
	}
}

func (d *document) decodeStruct(value hujson.Value, target reflect.Value, at path) {
	fields := jsonFields(target.Type())
	d.eachMember(value, at, func(name string, member hujson.ObjectMember, memberPath path) {
		index, known := fields[name]
		if !known {
			d.broken[memberPath] = true
			d.reportAt(member.Name.StartOffset, memberPath, fmt.Sprintf("unknown key %q", name))
			return
		}
		d.decode(member.Value, target.Field(index), memberPath)
	})
}

func (d *document) decodeMap(value hujson.Value, target reflect.Value, at path) {
	result := reflect.MakeMap(target.Type())
	ok := d.eachMember(value, at, func(name string, member hujson.ObjectMember, memberPath path) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(member.Value, element, memberPath)
		result.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
	if ok {
		target.Set(result)
	}
}

// eachMember visits the members of an object. A duplicate key is reported and its
// value is not visited. eachMember returns false if value is not an object.
func (d *document) eachMember(value hujson.Value, at path, visit func(string, hujson.ObjectMember, path)) bool {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.wrongType(value, "an object", at)
		return false
	}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := at.child(name)
		if first, seen := d.names[memberPath]; seen {
			line, _ := d.position(first)
			d.reportAt(member.Name.StartOffset, memberPath, fmt.Sprintf("duplicate key %q, first on line %d", name, line))
			continue
		}
		d.names[memberPath] = member.Name.StartOffset
		visit(name, member, memberPath)
	}
	return true
}

func (d *document) decodeSlice(value hujson.Value, target reflect.Value, at path) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.wrongType(value, "an array", at)
		return
	}
	result := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		d.decode(element, result.Index(i), at.index(i))
	}
	target.Set(result)
}

func (d *document) decodeBool(value hujson.Value, target reflect.Value, at path) {
	if kind := value.Value.Kind(); kind != 't' && kind != 'f' {
		d.wrongType(value, "true or false", at)
		return
	}
	target.SetBool(value.Value.Kind() == 't')
}

// decodeDuration requires a unit, even for 0, because a bare number could mean
// seconds or milliseconds.
func (d *document) decodeDuration(value hujson.Value, target reflect.Value, at path) {
	literal, ok := d.literal(value, '"', `a duration with a unit, such as "250ms"`, at)
	if !ok {
		return
	}
	text := literal.String()
	parsed, err := time.ParseDuration(text)
	if err != nil || strings.Trim(text, "+-0123456789.") == "" {
		d.report(at, fmt.Sprintf(`expected a duration with a unit, such as "250ms", found %q`, text))
		return
	}
	target.SetInt(int64(parsed))
}

func isText(target reflect.Value) bool {
	_, ok := target.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func (d *document) decodeText(value hujson.Value, target reflect.Value, at path) {
	literal, ok := d.literal(value, '"', "a string", at)
	if !ok {
		return
	}
	fresh := reflect.New(target.Type())
	if err := fresh.Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(literal.String())); err != nil {
		d.report(at, err.Error())
		return
	}
	target.Set(fresh.Elem())
}

func (d *document) decodeNumber(value hujson.Value, target reflect.Value, at path) {
	want := "a whole number"
	if target.CanFloat() {
		want = "a number"
	}
	literal, ok := d.literal(value, '0', want, at)
	if !ok {
		return
	}
	var err error
	switch bits := target.Type().Size() * 8; {
	case target.CanInt():
		var number int64
		if number, err = strconv.ParseInt(string(literal), 10, int(bits)); err == nil {
			target.SetInt(number)
		}
	case target.CanUint():
		var number uint64
		if number, err = strconv.ParseUint(string(literal), 10, int(bits)); err == nil {
			target.SetUint(number)
		}
	case target.CanFloat():
		var number float64
		if number, err = strconv.ParseFloat(string(literal), int(bits)); err == nil {
			target.SetFloat(number)
		}
	default:
		err = fmt.Errorf("settings cannot hold a %s", target.Type())
	}
	if err != nil {
		d.report(at, numberMessage(err, want, literal, target))
	}
}

func numberMessage(err error, want string, literal hujson.Literal, target reflect.Value) string {
	switch {
	case errors.Is(err, strconv.ErrRange):
		return fmt.Sprintf("%s is out of range", literal)
	case target.CanUint() && literal[0] == '-':
		return fmt.Sprintf("must not be negative, found %s", literal)
	case errors.Is(err, strconv.ErrSyntax):
		return fmt.Sprintf("expected %s, found %s", want, literal)
	default:
		return err.Error()
	}
}

// literal returns the value if it is a literal of the given kind, and otherwise
// reports a finding and returns false.
func (d *document) literal(value hujson.Value, kind hujson.Kind, want string, at path) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		d.wrongType(value, want, at)
		return nil, false
	}
	return literal, true
}

func (d *document) wrongType(value hujson.Value, want string, at path) {
	found := map[hujson.Kind]string{
		'n': "null", 'f': "false", 't': "true", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
	}[value.Value.Kind()]
	d.report(at, fmt.Sprintf("expected %s, found %s", want, found))
}

// jsonFields returns the index of each exported field by its JSON name.
func jsonFields(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structure.NumField() {
		field := structure.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = field.Name
		}
		if field.IsExported() && name != "-" {
			fields[name] = i
		}
	}
	return fields
}
