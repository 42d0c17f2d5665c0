package fleet

import (
	"slices"
	"strings"
)

// Op is the operator of a Test.
type Op int

// Operators of match expressions.
const (
	// OpEquals is written key=value.
	OpEquals Op = iota
	// OpDiffers is written key!=value. It matches if the key is missing.
	OpDiffers
	// OpIn is written key in (a,b).
	OpIn
	// OpNotIn is written key notin (a,b). It matches if the key is missing.
	OpNotIn
	// OpExists is written key.
	OpExists
	// OpMissing is written !key.
	OpMissing
)

// Test is one test on labels.
type Test struct {
	Key    string
	Op     Op
	Values []string
}

// Match is a conjunction of tests. The empty Match matches every instance.
type Match []Test

// Matches reports whether labels pass all tests.
func (m Match) Matches(l Labels) bool {
	for _, t := range m {
		if !t.passes(l) {
			return false
		}
	}
	return true
}

func (t Test) passes(l Labels) bool {
	v, ok := l[t.Key]
	switch t.Op {
	case OpEquals, OpIn:
		return ok && slices.Contains(t.Values, v)
	case OpDiffers, OpNotIn:
		return !ok || !slices.Contains(t.Values, v)
	case OpExists:
		return ok
	default:
		return !ok
	}
}

// ParseMatch parses an expression such as "pool=prefill, gpu in (a,b), !spot".
// Errors are *ErrMatch.
func ParseMatch(text string) (Match, error) {
	var m Match
	for _, part := range splitTests(text) {
		t, err := parseTest(strings.TrimSpace(part))
		if err != nil {
			return nil, &ErrMatch{Text: text, Part: strings.TrimSpace(part), Expected: err.Expected}
		}
		m = append(m, t)
	}
	return m, nil
}

// splitTests splits an expression at the commas outside parentheses.
func splitTests(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	var parts []string
	depth, start := 0, 0
	for i, r := range text {
		switch r {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, text[start:i])
				start = i + 1
			}
		}
	}
	return append(parts, text[start:])
}

func parseTest(s string) (Test, *ErrMatch) {
	if key, ok := strings.CutPrefix(s, "!"); ok && !strings.Contains(s, "=") {
		return newTest(key, OpMissing)
	}
	if key, value, ok := strings.Cut(s, "!="); ok {
		return newTest(key, OpDiffers, value)
	}
	if key, value, ok := strings.Cut(s, "="); ok {
		return newTest(key, OpEquals, value)
	}
	if key, set, ok := strings.Cut(s, " notin "); ok {
		return parseSet(key, OpNotIn, set)
	}
	if key, set, ok := strings.Cut(s, " in "); ok {
		return parseSet(key, OpIn, set)
	}
	return newTest(s, OpExists)
}

func parseSet(key string, op Op, set string) (Test, *ErrMatch) {
	set = strings.TrimSpace(set)
	if !strings.HasPrefix(set, "(") || !strings.HasSuffix(set, ")") {
		return Test{}, &ErrMatch{Expected: "a set in parentheses, as in key in (a,b)"}
	}
	return newTest(key, op, strings.Split(set[1:len(set)-1], ",")...)
}

func newTest(key string, op Op, values ...string) (Test, *ErrMatch) {
	t := Test{Key: strings.TrimSpace(key), Op: op}
	if !validName(t.Key) {
		return Test{}, &ErrMatch{Expected: "a label key of letters, digits and -_./:"}
	}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if !validName(v) {
			return Test{}, &ErrMatch{Expected: "a label value of letters, digits and -_./:"}
		}
		t.Values = append(t.Values, v)
	}
	return t, nil
}

// String returns the expression in the syntax of ParseMatch.
func (m Match) String() string {
	parts := make([]string, len(m))
	for i, t := range m {
		parts[i] = t.String()
	}
	return strings.Join(parts, ", ")
}

// String returns the test in the syntax of ParseMatch.
func (t Test) String() string {
	switch t.Op {
	case OpEquals:
		return t.Key + "=" + t.Values[0]
	case OpDiffers:
		return t.Key + "!=" + t.Values[0]
	case OpIn:
		return t.Key + " in (" + strings.Join(t.Values, ",") + ")"
	case OpNotIn:
		return t.Key + " notin (" + strings.Join(t.Values, ",") + ")"
	case OpMissing:
		return "!" + t.Key
	default:
		return t.Key
	}
}
