package tomlfile

import (
	"strings"
	"testing"
)

type sample struct {
	Name string `toml:"name"`
	Pool []struct {
		Name string  `toml:"name"`
		Size float64 `toml:"size"`
		In   struct {
			X int `toml:"x"`
		} `toml:"in"`
	} `toml:"pool"`
	Rows []struct {
		ID string `toml:"id"`
	} `toml:"rows"`
}

const text = `name = "n"
rows = [
  {id = "a"},
  # between
  {id = "b"},
]
[[pool]]
name = "p"

[[pool]]
size = 3
[pool.in]
x = 1
`

func TestLinesOfKeys(t *testing.T) {
	d, faults := Decode("f.toml", []byte(text), new(sample))
	if faults != nil {
		t.Fatal(faults)
	}
	for key, want := range map[string]int{"name": 1, "rows": 2, "rows[0].id": 3, "rows[1].id": 5, "rows[1].none": 5, "pool[0].name": 8,
		"pool[1].size": 11, "pool[1].none": 10, "pool[1].in.x": 13, "none": 0} {
		if got := d.Line(key); got != want {
			t.Errorf("%s: line %d, want %d", key, got, want)
		}
	}
	if got := d.Fault("rows[1].id", "is %d", 3).Error(); got != "f.toml:5: rows[1].id: is 3" {
		t.Error(got)
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = 'x'\nnmae = 3\n[[pool]]\nsise = 1\n", "f.toml:2: nmae: no such key"},
		{"name = 'x'\nnmae = 3\n[[pool]]\nsise = 1\n", "f.toml:4: pool.sise: no such key"},
		{"name = 'x'\nname = 'y'\n", "f.toml:2: "},
		{"name = 3\n", "f.toml:1: name: "},
		{"rows = [\n {id = 'a'},\n {id = 'b", "cut off here"},
	} {
		_, faults := Decode("f.toml", []byte(c.text), new(sample))
		if got := faults.Error(); !strings.Contains(got, c.want) {
			t.Errorf("%q: got %q, want %q in it", c.text, got, c.want)
		}
	}
}

// For any input, the line lookup terminates and faults have a line within the text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(text))
	f.Add([]byte("a.b = {c = [1, {d = 2}]}\n[x]\n[[x.y]]\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d, faults := Decode("f", in, new(sample))
		for _, fault := range faults {
			if fault.Line < 0 || fault.Line > 1+strings.Count(string(in), "\n") {
				t.Errorf("line %d", fault.Line)
			}
		}
		d.Line("pool[0].name")
	})
}
