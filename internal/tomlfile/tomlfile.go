// Package tomlfile decodes TOML strictly: every fault names its file, line and key, and the accepted values.
// Unknown keys, duplicate keys and truncated files are faults.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault describes one error in a file.
type Fault struct {
	File string
	Line int    // 1-based; 0 if the fault has no line
	Key  string // dotted path with 0-based array indexes, as in class[2].aim_ms; "" if the fault has no key
	What string // what is wrong and what is accepted
}

// Error formats the fault as "file:line: key: what".
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d", at, f.Line)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.What
}

// Faults lists the errors of a file in the order in which they were found.
type Faults []Fault

// Error returns one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Doc is a decoded file that maps its keys to line numbers.
type Doc struct {
	File  string
	text  []byte
	lines map[string]int // line of each key; built on the first lookup
}

// maxFaults is the maximum number of unknown keys reported per file.
const maxFaults = 100

// Decode decodes text into the struct that into points to. It stops at the first syntax or type error and
// reports unknown keys up to maxFaults.
func Decode(file string, text []byte, into any) (*Doc, Faults) {
	d := &Doc{File: file, text: text}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var unknown *toml.StrictMissingError
	var broken *toml.DecodeError
	switch {
	case err == nil:
		return d, nil
	case errors.As(err, &unknown):
		var fs Faults
		for i, e := range unknown.Errors {
			if i == maxFaults {
				break
			}
			line, _ := e.Position()
			fs = append(fs, Fault{file, line, strings.Join(e.Key(), "."), "no such key; see --help or the example for those there are"})
		}
		return d, fs
	case errors.As(err, &broken):
		line, _ := broken.Position()
		what := strings.TrimPrefix(broken.Error(), "toml: ")
		if line >= 1+bytes.Count(bytes.TrimRight(text, "\n"), []byte("\n")) && len(broken.Key()) == 0 {
			what += " (the file may be cut off here)"
		}
		return d, Faults{{file, line, strings.Join(broken.Key(), "."), what}}
	}
	return d, Faults{{File: file, What: strings.TrimPrefix(err.Error(), "toml: ")}}
}

// Fault returns a fault located at a key, or at its nearest ancestor that is in the file.
func (d *Doc) Fault(key, format string, args ...any) Fault {
	return Fault{d.File, d.Line(key), key, fmt.Sprintf(format, args...)}
}

// Line returns the line of a key or of its nearest ancestor in the file; 0 if there is none.
func (d *Doc) Line(key string) int {
	if d.lines == nil {
		d.indexLines()
	}
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// indexLines records the line of each key.
func (d *Doc) indexLines() {
	d.lines = map[string]int{}
	seen := map[string]int{} // number of elements so far in each array of tables
	table := ""
	var p unstable.Parser
	p.Reset(d.text)
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			table = d.recordKey(e.Key(), "", seen)
		case unstable.ArrayTable:
			name := d.recordKey(e.Key(), "", seen)
			table = fmt.Sprintf("%s[%d]", name, seen[name])
			seen[name]++
			d.lines[table] = d.lines[name]
		case unstable.KeyValue:
			d.recordValue(d.recordKey(e.Key(), table, seen), e.Value(), seen)
		}
	}
}

// recordKey records the line of a key within a table and returns the path of the key.
func (d *Doc) recordKey(it unstable.Iterator, within string, seen map[string]int) string {
	path, at := within, 0
	for it.Next() {
		n := it.Node()
		if path != "" {
			path += "."
		}
		path, at = path+string(n.Data), int(n.Raw.Offset)
		if k := seen[path]; k > 0 && !it.IsLast() { // a table inside the last element of an array of tables
			path = fmt.Sprintf("%s[%d]", path, k-1)
		}
	}
	if _, known := d.lines[path]; !known || within == "" {
		d.lines[path] = 1 + bytes.Count(d.text[:min(at, len(d.text))], []byte("\n"))
	}
	return path
}

// recordValue records the lines of the keys inside a value.
func (d *Doc) recordValue(path string, v *unstable.Node, seen map[string]int) {
	it := v.Children()
	switch v.Kind {
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			at := fmt.Sprintf("%s[%d]", path, i)
			if n := it.Node(); n.Kind == unstable.InlineTable || n.Kind == unstable.Array {
				d.recordValue(at, n, seen)
			} else {
				d.lines[at] = 1 + bytes.Count(d.text[:n.Raw.Offset], []byte("\n"))
			}
		}
	case unstable.InlineTable:
		for it.Next() {
			n := it.Node()
			inner := d.recordKey(n.Key(), path, seen)
			if _, known := d.lines[path]; !known || strings.HasSuffix(path, "]") && d.lines[path] == 0 {
				d.lines[path] = d.lines[inner]
			}
			d.recordValue(inner, n.Value(), seen)
		}
	}
}
