// Package experiment runs scenarios of the model: many seeds over all cores, kept as tables and charts, compared with each other by pairs
// of the same seed.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"mossproxy.example/mossproxy/internal/model"
)

// Scenario is what a script says: a service with its load and faults, and variants of its settings.
type Scenario struct {
	Name     string
	Version  int // of what scripts may say
	Config   model.Config
	Draws    []Draw // faults that each seed draws for itself
	Variants []Variant
}

// Draw is a number of faults of a kind, drawn anew for each seed.
type Draw struct {
	Kind    model.Kind
	Number  int
	From    float64 // ms of the run
	To      float64
	Longest float64
}

// Variant is a scenario with other settings.
type Variant struct {
	Name string
	Set  map[string]float64
}

// Version is what scripts say now. An older one is read as it was meant.
const Version = 1

// Bounds on scripts: steps of the interpreter, and what they may make.
const (
	maxSteps    = 200000
	maxScript   = 256 << 10
	maxFaults   = 10000
	maxVariants = 64
	maxItems    = 10000 // of a range or list
	maxText     = 4096  // bytes of a string
)

// methods are those of values that scripts may call: none of them makes much of little.
var methods = []string{"append", "get", "items", "keys", "values"}

// settings are the numbers that a scenario or a variant can set, by their names.
var settings = map[string]func(*model.Config) any{
	"seconds": nil, "news_ms": nil, "servers": func(c *model.Config) any { return &c.Servers }, "routers": func(c *model.Config) any { return &c.Routers },
	"demand": func(c *model.Config) any { return &c.Load }, "swing": func(c *model.Config) any { return &c.Swing }, "wave_ms": func(c *model.Config) any { return &c.Wave },
	"keys": func(c *model.Config) any { return &c.Keys }, "zipf": func(c *model.Config) any { return &c.Zipf }, "keys_per_core": func(c *model.Config) any { return &c.PerCore },
	"same_ms": func(c *model.Config) any { return &c.Same }, "cross_ms": func(c *model.Config) any { return &c.Cross }, "jitter": func(c *model.Config) any { return &c.Jitter },
	"retries": func(c *model.Config) any { return &c.Retries }, "try_share": func(c *model.Config) any { return &c.TryShare }, "backoff_ms": func(c *model.Config) any { return &c.Backoff },
	"cold_ms": func(c *model.Config) any { return &c.Cold }, "cold_from": func(c *model.Config) any { return &c.ColdFrom },
	"fall_multiple": func(c *model.Config) any { return &c.FallMult }, "fall_ms": func(c *model.Config) any { return &c.FallFor },
	"origin_cores": func(c *model.Config) any { return &c.OriginCores }, "origin_work_ms": func(c *model.Config) any { return &c.OriginWork },
	"miss_work_ms": func(c *model.Config) any { return &c.MissWork }, "report_ms": func(c *model.Config) any { return &c.Report },
	"clocks_apart_ms": func(c *model.Config) any { return &c.ClockApart }, "clock_drift": func(c *model.Config) any { return &c.ClockDrift },
	"drain_grace_ms": func(c *model.Config) any { return &c.DrainGrace },
}

// set sets a setting by its name.
func set(c *model.Config, name string, v float64) error {
	if name == "seconds" {
		c.For = v * 1000
		return nil
	}
	if name == "news_ms" { // of servers and routers that come and go, to whoever is told
		at := model.Range{From: v, To: v}
		c.Notice, c.Silent, c.Front = at, at, at
		return nil
	}
	at := settings[name]
	if at == nil {
		return fmt.Errorf("%q is no setting; %s are", name, strings.Join(names(), ", "))
	}
	switch p := at(c).(type) {
	case *float64:
		*p = v
	case *int:
		if v != math.Trunc(v) || math.Abs(v) > 1e9 {
			return fmt.Errorf("%s: %v: a whole number is right", name, v)
		}
		*p = int(v)
	}
	return nil
}

// said are the settings of a configuration that are not the usual ones, as a script says them.
func said(c *model.Config) string {
	var b strings.Builder
	usual := model.Default()
	fmt.Fprintf(&b, ", seconds = %v", c.For/1000)
	if c.Notice == c.Silent && c.Silent == c.Front && c.Notice.From == c.Notice.To {
		fmt.Fprintf(&b, ", news_ms = %v", c.Notice.From)
	}
	for _, n := range names() {
		if at := settings[n]; at != nil {
			if is, was := value(at(c)), value(at(&usual)); is != was {
				fmt.Fprintf(&b, ", %s = %v", n, is)
			}
		}
	}
	return b.String()
}

// value is what a setting's pointer points to.
func value(at any) float64 {
	switch p := at.(type) {
	case *float64:
		return *p
	case *int:
		return float64(*p)
	}
	return 0
}

func names() (out []string) {
	for n := range settings {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// ParseScript reads a scenario. Scripts are Starlark: they compute, and have no input or output. An error has file, line and the way of calls.
func ParseScript(path string, text []byte) (*Scenario, error) {
	if len(text) > maxScript {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxScript)
	}
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Recursion: false, While: false}
	f, err := opts.Parse(path, text, 0)
	if err != nil {
		return nil, err
	}
	if err := bound(f); err != nil {
		return nil, err
	}
	s := &Scenario{Version: Version, Config: model.Default()}
	b := builder{s: s}
	globals := b.words()
	prog, err := starlark.FileProgram(f, globals.Has)
	if err != nil {
		return nil, err
	}
	th := &starlark.Thread{Name: path, Print: func(*starlark.Thread, string) {}}
	th.SetMaxExecutionSteps(maxSteps)
	if _, err := prog.Init(th, globals); err != nil {
		var at *starlark.EvalError
		if errors.As(err, &at) {
			return nil, fmt.Errorf("%s", strings.TrimSpace(at.Backtrace()))
		}
		return nil, err
	}
	if s.Name == "" {
		return nil, fmt.Errorf("%s: there is no service(name = ...)", path)
	}
	for _, v := range append([]Variant{{Name: "base"}}, s.Variants...) {
		c, err := s.config(v, 1)
		if err == nil {
			err = c.Check()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, v.Name, err)
		}
	}
	return s, nil
}

// bound keeps a script from making much of little: what multiplies and adds is checked by size, and only harmless methods can be called.
func bound(f *syntax.File) (err error) {
	syntax.Walk(f, func(n syntax.Node) bool {
		switch x := n.(type) {
		case *syntax.DotExpr:
			if !slices.Contains(methods, x.Name.Name) && err == nil {
				err = fmt.Errorf("%s: .%s: scenarios can call %s alone", x.Dot, x.Name.Name, strings.Join(methods, ", "))
			}
		case *syntax.LoadStmt:
			err = fmt.Errorf("%s: load: scenarios read no other file", x.Load)
		case *syntax.AssignStmt:
			if x.Op != syntax.EQ && err == nil {
				err = fmt.Errorf("%s: %v: write it as x = x + y", x.OpPos, x.Op)
			}
		}
		return true
	})
	if err == nil {
		checked(reflect.ValueOf(f))
	}
	return err
}

// checkedOps are the operators that are replaced by functions which look at sizes.
var checkedOps = map[syntax.Token]string{syntax.STAR: "_times", syntax.PLUS: "_plus", syntax.PERCENT: "_rest"}

// checked replaces operators below a node of the tree.
func checked(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && v.Type() != reflect.TypeFor[*string]() {
			checked(v.Elem())
		}
	case reflect.Interface:
		if v.IsNil() {
			return
		}
		checked(v.Elem())
		if x, ok := v.Interface().(*syntax.BinaryExpr); ok && v.CanSet() && checkedOps[x.Op] != "" {
			v.Set(reflect.ValueOf(&syntax.CallExpr{Fn: &syntax.Ident{NamePos: x.OpPos, Name: checkedOps[x.Op]}, Lparen: x.OpPos, Args: []syntax.Expr{x.X, x.Y}, Rparen: x.OpPos}))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checked(v.Index(i))
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[syntax.Position]() {
			return
		}
		for i := range v.NumField() {
			if f := v.Field(i); f.CanSet() && v.Type().Field(i).Name != "Module" && v.Type().Field(i).Name != "Binding" && v.Type().Field(i).Name != "Function" {
				checked(f)
			}
		}
	}
}

// builder is what a script's words write to.
type builder struct{ s *Scenario }

// words are what scripts can say beside the language's own.
func (b *builder) words() starlark.StringDict {
	return starlark.StringDict{
		"service": starlark.NewBuiltin("service", b.service), "fault": starlark.NewBuiltin("fault", b.fault), "draw": starlark.NewBuiltin("draw", b.draw),
		"variant": starlark.NewBuiltin("variant", b.variant), "range": starlark.NewBuiltin("range", bounded), "_times": starlark.NewBuiltin("*", operator(syntax.STAR)),
		"_plus": starlark.NewBuiltin("+", operator(syntax.PLUS)), "_rest": starlark.NewBuiltin("%", operator(syntax.PERCENT)),
	}
}

// operator carries out an operator on numbers, and + on short strings and lists.
func operator(op syntax.Token) func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error) {
	return func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		for _, a := range args {
			switch x := a.(type) {
			case starlark.Int:
				if x.BigInt().BitLen() > 64 {
					return nil, fmt.Errorf("%s: a number over 64 bits", b.Name())
				}
			case starlark.Float:
			case starlark.String:
				if op != syntax.PLUS || len(x) > maxText {
					return nil, fmt.Errorf("%s: not of strings, or one is over %d bytes", b.Name(), maxText)
				}
			case *starlark.List:
				if op != syntax.PLUS || x.Len() > maxItems {
					return nil, fmt.Errorf("%s: not of lists, or one has over %d items", b.Name(), maxItems)
				}
			default:
				return nil, fmt.Errorf("%s: not of %s", b.Name(), a.Type())
			}
		}
		return starlark.Binary(op, args[0], args[1])
	}
}

// bounded is range, of so many items at most.
func bounded(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	var from, to, step int
	if err := starlark.UnpackPositionalArgs(b.Name(), args, kw, 1, &from, &to, &step); err != nil {
		return nil, err
	}
	if len(args) == 1 {
		from, to = 0, from
	}
	if len(args) < 3 {
		step = 1
	}
	if step == 0 || math.Abs(float64(to)-float64(from))/math.Abs(float64(step)) > maxItems {
		return nil, fmt.Errorf("range: %d items at most", maxItems)
	}
	out := starlark.NewList(nil)
	for i := from; step > 0 && i < to || step < 0 && i > to; i += step {
		if err := out.Append(starlark.MakeInt(i)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// numbers takes what is left of named arguments as settings.
func numbers(fn string, kw []starlark.Tuple, skip ...string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, p := range kw {
		name := string(p[0].(starlark.String))
		if slices.Contains(skip, name) {
			continue
		}
		v, ok := starlark.AsFloat(p[1])
		if !ok {
			return nil, fmt.Errorf("%s: %s: a number is right", fn, name)
		}
		out[name] = v
	}
	return out, nil
}

func text(kw []starlark.Tuple, name string) string {
	for _, p := range kw {
		if string(p[0].(starlark.String)) == name {
			v, _ := starlark.AsString(p[1])
			return v
		}
	}
	return ""
}

// service(name, version, settings...) says what there is.
func (b *builder) service(_ *starlark.Thread, fn *starlark.Builtin, _ starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	if b.s.Name = text(kw, "name"); b.s.Name == "" || len(b.s.Name) > 64 {
		return nil, fmt.Errorf("service: name: 1 to 64 characters are right")
	}
	of, err := numbers(fn.Name(), kw, "name")
	if err != nil {
		return nil, err
	}
	if v, said := of["version"]; said {
		if b.s.Version = int(v); v < 1 || v > Version {
			return nil, fmt.Errorf("service: version %v: 1 to %d are known", v, Version)
		}
		delete(of, "version")
	}
	for _, n := range names() {
		if v, said := of[n]; said {
			if err := set(&b.s.Config, n, v); err != nil {
				return nil, fmt.Errorf("service: %w", err)
			}
			delete(of, n)
		}
	}
	for n := range of {
		return nil, fmt.Errorf("service: %w", set(&b.s.Config, n, 0))
	}
	return starlark.None, nil
}

func kindOf(name string) (model.Kind, error) {
	var all []string
	for k := model.Kill; k <= model.Stop; k++ {
		if k.String() == name {
			return k, nil
		}
		all = append(all, k.String())
	}
	return 0, fmt.Errorf("%q is no fault; %s are", name, strings.Join(all, ", "))
}

// number is a whole number or one with a point.
type number float64

// Unpack is starlark.Unpacker's.
func (n *number) Unpack(v starlark.Value) error {
	x, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("got %s, want a number", v.Type())
	}
	*n = number(x)
	return nil
}

// ms is a time in s in ms, to the µs: what was written from ms reads as the same.
func ms(s number) float64 { return math.Round(float64(s)*1e6) / 1e3 }

// fault(kind, at_s, for_s, who, to) is one fault.
func (b *builder) fault(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	var kind string
	var at, long number
	var who, to int
	if err := starlark.UnpackArgs(fn.Name(), args, kw, "kind", &kind, "at_s", &at, "for_s?", &long, "who?", &who, "to?", &to); err != nil {
		return nil, err
	}
	k, err := kindOf(kind)
	if err != nil {
		return nil, fmt.Errorf("fault: %w", err)
	}
	if len(b.s.Config.Faults) == maxFaults {
		return nil, fmt.Errorf("fault: %d at most", maxFaults)
	}
	b.s.Config.Faults = append(b.s.Config.Faults, model.Fault{Kind: k, At: ms(at), For: ms(long), Who: who, To: to})
	return starlark.None, nil
}

// draw(kind, number, from_s, to_s, longest_s) has each seed draw faults.
func (b *builder) draw(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	var kind string
	var n int
	var from, to, longest number
	if err := starlark.UnpackArgs(fn.Name(), args, kw, "kind", &kind, "number", &n, "from_s", &from, "to_s", &to, "longest_s", &longest); err != nil {
		return nil, err
	}
	k, err := kindOf(kind)
	if err != nil {
		return nil, fmt.Errorf("draw: %w", err)
	}
	if n < 1 || n > maxFaults || from < 0 || to < from || longest <= 0 || len(b.s.Draws) == maxVariants {
		return nil, fmt.Errorf("draw: %d of %v to %v s, up to %v s: 1 to %d, from a time to a later one", n, from, to, longest, maxFaults)
	}
	b.s.Draws = append(b.s.Draws, Draw{k, n, ms(from), ms(to), ms(longest)})
	return starlark.None, nil
}

// variant(name, settings...) is the scenario with other settings.
func (b *builder) variant(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kw []starlark.Tuple) (starlark.Value, error) {
	of, err := numbers(fn.Name(), kw, "name")
	if err != nil {
		return nil, err
	}
	v := Variant{text(kw, "name"), of}
	if len(args) == 1 {
		v.Name, _ = starlark.AsString(args[0])
	}
	if v.Name == "" || len(v.Name) > 64 || v.Name == "base" || len(b.s.Variants) == maxVariants || slices.ContainsFunc(b.s.Variants, func(x Variant) bool { return x.Name == v.Name }) {
		return nil, fmt.Errorf("variant: %q: a name of its own, of %d at most", v.Name, maxVariants)
	}
	c := b.s.Config
	for n, x := range of {
		if err := set(&c, n, x); err != nil {
			return nil, fmt.Errorf("variant: %w", err)
		}
	}
	b.s.Variants = append(b.s.Variants, v)
	return starlark.None, nil
}
