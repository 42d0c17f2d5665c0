package decisionlog

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one parsed line of a decision log.
type Line struct {
	Time    time.Time
	Process string
	Kind    string
	Event   string
	// Pairs are the other keys and values in the order of the line.
	Pairs []Pair
}

// Pair is one key and its value.
type Pair struct {
	Key, Value string
}

// Get returns the value of a key, empty if the line does not have the key.
func (l *Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// String returns the line in a form for people, without date and kind.
func (l *Line) String() string {
	var b strings.Builder
	b.WriteString(l.Time.Format("15:04:05.000") + " " + l.Process + " " + l.Event)
	for _, p := range l.Pairs {
		b.WriteString(" " + p.Key + "=" + string(appendText(nil, p.Value)))
	}
	return b.String()
}

// maxLine is the longest line that Read accepts, in bytes.
const maxLine = 1 << 20

// Read returns the decision log lines of a text, sorted by time. It ignores text
// before time= on these lines, and all other lines.
func Read(r io.Reader) ([]Line, error) {
	var out []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := Parse(scan.Text()); ok {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out, scan.Err()
}

// Parse parses one line. It returns false if this is not a decision log line.
func Parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	var l Line
	for rest := text[at:]; rest != ""; {
		var p Pair
		p, rest = nextPair(rest)
		switch p.Key {
		case "time":
			t, err := time.Parse("2006-01-02T15:04:05.000Z", p.Value)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "process":
			l.Process = p.Value
		case "kind":
			l.Kind = p.Value
		case "event":
			l.Event = p.Value
		case "":
		default:
			l.Pairs = append(l.Pairs, p)
		}
	}
	return l, l.Event != "" && l.Process != ""
}

// nextPair returns the first key and value of a text, and the rest of the text.
func nextPair(text string) (Pair, string) {
	text = strings.TrimLeft(text, " ")
	key, rest, ok := strings.Cut(text, "=")
	if !ok {
		return Pair{}, ""
	}
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, err := strconv.Unquote(quoted)
		if err == nil {
			return Pair{key, value}, rest[len(quoted):]
		}
	}
	value, rest, _ := strings.Cut(rest, " ")
	return Pair{key, value}, rest
}
