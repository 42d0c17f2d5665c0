package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"

	"github.com/hopwell/hopwell/pkg/fleet"
)

// ErrSettings reports an invalid settings file, with the position and field of the fault.
type ErrSettings struct {
	File         string
	Line, Column int
	// Field is the path of the key, such as listen.inner.
	Field    string
	Expected string
}

// Error implements error.
func (e *ErrSettings) Error() string {
	return fmt.Sprintf("bad settings: file=%s line=%d column=%d field=%s expected=%q", e.File, e.Line, e.Column, e.Field, e.Expected)
}

// ErrFile reports that a settings file can't be read.
type ErrFile struct {
	File string
	Err  error
}

// Error implements error.
func (e *ErrFile) Error() string {
	return fmt.Sprintf("can't read settings: file=%s cause=%v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ErrFile) Unwrap() error { return e.Err }

// invalidField is a failed check without a position in the file. settingsError adds the position.
type invalidField struct {
	field, expected string
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(file string) (*Gateway, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, data)
}

// ParseGateway parses and checks a gateway's settings. file is the file name to report in errors.
func ParseGateway(file string, data []byte) (*Gateway, error) {
	var g Gateway
	must(yaml.Unmarshal([]byte(GatewayDefault), &g))
	g.Instance, g.Platform, g.Listen = Instance{}, "", Listen{}
	if err := decode(file, data, &g); err != nil {
		return nil, err
	}
	return &g, settingsError(file, data, g.check())
}

// LoadSidecar reads and checks a sidecar's settings file.
func LoadSidecar(file string) (*Sidecar, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseSidecar(file, data)
}

// ParseSidecar parses and checks a sidecar's settings. file is the file name to report in errors.
func ParseSidecar(file string, data []byte) (*Sidecar, error) {
	var s Sidecar
	must(yaml.Unmarshal([]byte(SidecarDefault), &s))
	s.Instance, s.Platform, s.Listen, s.Engine = Instance{}, "", Listen{}, ""
	if err := decode(file, data, &s); err != nil {
		return nil, err
	}
	return &s, settingsError(file, data, s.check())
}

// Kind returns the command that a settings file is for, "gateway", "sidecar" or "ingress",
// from the keys in it. Without a key of a sidecar or an ingress, and for invalid YAML, it returns
// "gateway".
func Kind(data []byte) string {
	var keys map[string]any
	if yaml.Unmarshal(data, &keys) != nil {
		return "gateway"
	}
	for _, k := range []string{"engine", "service", "slots", "admission", "guesses"} {
		if _, ok := keys[k]; ok {
			return "sidecar"
		}
	}
	for _, k := range []string{"store", "retry_budget"} {
		if _, ok := keys[k]; ok {
			return "ingress"
		}
	}
	return "gateway"
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &ErrFile{File: file, Err: err}
	}
	return data, nil
}

// must panics on an error in the embedded defaults. Tests check that there is none.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// decode parses YAML strictly: unknown and duplicate keys are errors. Errors are *ErrSettings.
func decode(file string, data []byte, into any) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return &ErrSettings{File: file, Line: 1, Column: 1, Field: ".", Expected: "settings"}
	}
	err := decodeYAML(data, into)
	if err == nil {
		return nil
	}
	out := &ErrSettings{File: file, Line: 1, Column: 1, Field: ".", Expected: err.Error()}
	var duration *fleet.ErrDuration
	if errors.As(err, &duration) {
		out.Expected = duration.Expected()
		out.locateValue(data, duration.Text)
		return out
	}
	if at, ok := err.(yaml.Error); ok {
		out.Expected = at.GetMessage()
		if t := at.GetToken(); t != nil {
			out.Line, out.Column, out.Field = t.Position.Line, t.Position.Column, t.Value
		}
	}
	return out
}

// errParser reports that the YAML library panicked on a text.
type errParser struct {
	Cause any
}

// Error returns the text for ErrSettings.Expected.
func (e *errParser) Error() string { return fmt.Sprintf("readable YAML (%v)", e.Cause) }

// decodeYAML calls the YAML library and converts its panics to errors. The library panics on
// some texts, such as "!0 0".
func decodeYAML(data []byte, into any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &errParser{Cause: cause}
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(into)
}

// locateValue sets the position and field of e to those of the first key whose value is
// text.
func (e *ErrSettings) locateValue(data []byte, text string) {
	for _, t := range lexer.Tokenize(string(data)) {
		if t.Value != text || t.Prev == nil || t.Prev.Prev == nil {
			continue
		}
		e.Line, e.Column, e.Field = t.Position.Line, t.Position.Column, t.Prev.Prev.Value
		return
	}
}

// settingsError returns *ErrSettings for f with its position in the file, or nil if f is nil.
func settingsError(file string, data []byte, f *invalidField) error {
	if f == nil {
		return nil
	}
	out := &ErrSettings{File: file, Line: 1, Column: 1, Field: f.field, Expected: f.expected}
	if n := findNode(data, f.field); n != nil && n.GetToken() != nil {
		out.Line, out.Column = n.GetToken().Position.Line, n.GetToken().Position.Column
	}
	return out
}

// findNode returns the YAML node of a field, or of its nearest parent that exists, or nil.
func findNode(data []byte, field string) ast.Node {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil
	}
	for field != "" {
		if p, err := yaml.PathString("$." + field); err == nil {
			if n, err := p.FilterFile(tree); err == nil && n != nil {
				return n
			}
		}
		cut := bytes.LastIndexByte([]byte(field), '.')
		field = field[:max(cut, 0)]
	}
	return nil
}

// ParseSelectors parses a list of selectors strictly. file is the file name to report in errors.
// The values are not checked here but by fleet.Document.Apply.
func ParseSelectors(file string, data []byte) ([]fleet.Selector, error) {
	var list []fleet.Selector
	return list, decode(file, data, &list)
}
