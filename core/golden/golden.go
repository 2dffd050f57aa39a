// Package golden compares encodings that leave the process with recorded files, so that
// a rename in the code cannot change them. Instances of two builds serve together, and
// each build reads what an earlier one stored.
//
// The files are recorded with go test PACKAGE -golden.update, and only for a change that
// is meant to alter the encoding.
package golden

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("golden.update", false, "record the golden files instead of comparing them")

// Compare fails the test unless got equals the content of the file.
func Compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("%s: missing: %s", file, line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("%s: not recorded: %s", file, line)
		}
	}
	if !t.Failed() && string(want) != got {
		t.Errorf("%s: the lines have another order", file)
	}
}

// Value is a named value whose JSON is recorded.
type Value struct {
	Name  string
	Value any
}

// JSON fails the test unless each value encodes to the recorded bytes and these decode
// to an equal value.
func JSON(t *testing.T, file string, values ...Value) {
	t.Helper()
	var got strings.Builder
	for _, v := range values {
		text, err := json.Marshal(v.Value)
		if err != nil {
			t.Fatalf("%s: %v", v.Name, err)
		}
		fmt.Fprintf(&got, "%s %s\n", v.Name, text)
	}
	Compare(t, file, got.String())
	recorded, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range values {
		for line := range bytes.Lines(recorded) {
			name, text, _ := bytes.Cut(line, []byte(" "))
			if string(name) != v.Name {
				continue
			}
			decoded := reflect.New(reflect.TypeOf(v.Value))
			if err := json.Unmarshal(text, decoded.Interface()); err != nil {
				t.Errorf("%s: %v", v.Name, err)
			} else if !reflect.DeepEqual(decoded.Elem().Interface(), v.Value) {
				t.Errorf("%s: decodes to %+v, want %+v", v.Name, decoded.Elem().Interface(), v.Value)
			}
		}
	}
}

// Service describes the methods that net/rpc serves for a receiver registered under the
// name, one line for each method and each exported field of its messages. Types are given
// as gob sees them: a field that is renamed would be dropped by the peer without an
// error, while the names of types are not compared. An embedded type is a field.
func Service(name string, receiver any) string {
	var out strings.Builder
	r := reflect.TypeOf(receiver)
	for i := range r.NumMethod() {
		m := r.Method(i)
		if m.Type.NumIn() != 3 || m.Type.NumOut() != 1 {
			continue
		}
		fmt.Fprintf(&out, "%s.%s\n", name, m.Name)
		describe(&out, name+"."+m.Name+" request", m.Type.In(1), nil)
		describe(&out, name+"."+m.Name+" response", m.Type.In(2), nil)
	}
	return out.String()
}

var gobEncoder = reflect.TypeFor[gob.GobEncoder]()

func describe(out *strings.Builder, path string, t reflect.Type, within []reflect.Type) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Implements(gobEncoder) || slices.Contains(within, t) {
		fmt.Fprintf(out, "%s %s\n", path, t)
		return
	}
	within = append(slices.Clone(within), t)
	switch t.Kind() {
	case reflect.Struct:
		if t.NumField() == 0 {
			fmt.Fprintf(out, "%s empty\n", path)
		}
		for f := range t.Fields() {
			if f.IsExported() {
				describe(out, path+"."+f.Name, f.Type, within)
			}
		}
	case reflect.Slice, reflect.Array:
		describe(out, path+"[]", t.Elem(), within)
	case reflect.Map:
		describe(out, path+"[key]", t.Key(), within)
		describe(out, path+"[value]", t.Elem(), within)
	default:
		fmt.Fprintf(out, "%s %s\n", path, t.Kind())
	}
}
