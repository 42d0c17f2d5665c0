// Package decisionlog writes one line of key=value pairs for each decision that
// touches a request or changes what the process believes. Writing never blocks:
// lines wait in a bounded buffer, and what finds no room, or is above its kind's
// rate, is counted and left out. Lines of failed requests are left out last.
package decisionlog

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kinds of lines that have no rate.
const (
	// KindFailed is for requests that failed or were refused.
	KindFailed = "failed"
	// KindProcess is for start, stop, reload and dependencies.
	KindProcess = "process"
	// KindState is for changes of what the process knows: configuration, runners, gateways.
	KindState = "state"
	// KindDone is for requests that were answered.
	KindDone = "done"
	// KindStep is for the steps of a request.
	KindStep = "step"
)

const (
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 256 << 10
	// reservedBytes of the buffer are for lines of failed requests and of the
	// process alone.
	reservedBytes = 64 << 10
	// rateWindow is the time over which lines of a kind are counted.
	rateWindow = time.Second
)

// rates bounds the lines of a kind in each second.
var rates = map[string]int{KindFailed: 400, KindProcess: 200, KindState: 200, KindDone: 100, KindStep: 100}

// Field is one key and its value.
type Field struct {
	Key   string
	Value any
}

// F makes a field.
func F(key string, value any) Field { return Field{key, value} }

// Log writes lines to one writer.
type Log struct {
	process string
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	counts  map[string]int
	since   time.Time
	dropped map[string]int
	closed  bool
	done    chan struct{}
}

// New starts a log of a process.
func New(process string, w io.Writer) *Log {
	l := &Log{process: process, wake: make(chan struct{}, 1), counts: map[string]int{}, dropped: map[string]int{}, done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write adds a line. It never waits.
func (l *Log) Write(kind, event string, fields ...Field) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if now.Sub(l.since) >= rateWindow {
		l.since = now
		clear(l.counts)
		l.writeDropped(now)
	}
	if l.counts[kind]++; l.counts[kind] > rates[kind] || l.buffer.Len() > l.room(kind) {
		l.dropped[kind]++
		return
	}
	l.append(now, kind, event, fields)
	l.signal()
}

// room returns how full the buffer may be for a line of a kind.
func (l *Log) room(kind string) int {
	if kind == KindFailed || kind == KindProcess {
		return bufferBytes
	}
	return bufferBytes - reservedBytes
}

// writeDropped writes how many lines were left out.
func (l *Log) writeDropped(now time.Time) {
	if l.buffer.Len() > bufferBytes {
		return
	}
	for kind, n := range l.dropped {
		l.append(now, KindProcess, "lines_left_out", []Field{F("kind", kind), F("count", n)})
		delete(l.dropped, kind)
	}
}

func (l *Log) append(now time.Time, kind, event string, fields []Field) {
	b := l.buffer.AvailableBuffer()
	b = append(b, "time="...)
	b = now.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, " process="...)
	b = append(b, l.process...)
	b = append(b, " kind="...)
	b = append(b, kind...)
	b = append(b, " event="...)
	b = append(b, event...)
	for _, f := range fields {
		b = append(b, ' ')
		b = append(b, f.Key...)
		b = append(b, '=')
		b = appendValue(b, f.Value)
	}
	l.buffer.Write(append(b, '\n'))
}

func appendValue(b []byte, v any) []byte {
	switch x := v.(type) {
	case string:
		return appendText(b, x)
	case int:
		return strconv.AppendInt(b, int64(x), 10)
	case uint64:
		return strconv.AppendUint(b, x, 10)
	case bool:
		return strconv.AppendBool(b, x)
	case float64:
		return strconv.AppendFloat(b, x, 'f', 3, 64)
	case time.Duration:
		return append(strconv.AppendFloat(b, float64(x.Microseconds())/1e3, 'f', 1, 64), "ms"...)
	case nil:
		return append(b, "none"...)
	case error:
		return appendText(b, x.Error())
	}
	return appendText(b, fmt.Sprint(v))
}

func appendText(b []byte, s string) []byte {
	if s == "" || strings.ContainsAny(s, " =\"\n\r\t") {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run writes what waits; a stuck writer holds up only this goroutine.
func (l *Log) run(w io.Writer) {
	defer close(l.done)
	for range l.wake {
		l.mu.Lock()
		out := bytes.Clone(l.buffer.Bytes())
		l.buffer.Reset()
		closed := l.closed
		l.mu.Unlock()
		if len(out) > 0 {
			_, _ = w.Write(out)
		}
		if closed {
			return
		}
	}
}

// Close writes what waits, at most for the given time.
func (l *Log) Close(wait time.Duration) {
	l.mu.Lock()
	l.writeDropped(time.Now())
	l.closed = true
	l.mu.Unlock()
	l.signal()
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}
