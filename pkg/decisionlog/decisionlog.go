// Package decisionlog writes one line of key=value pairs for each decision that
// concerns a request or changes the state that the process acts on. Writing never
// blocks: lines wait in a bounded buffer. A line is dropped and counted if the buffer
// is full or the rate limit of its kind is reached. When the buffer
// fills, lines of failed requests and of the process are dropped last.
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

// Kinds of lines. Each kind has a rate limit of its own.
const (
	// KindFailed is for requests that failed or were refused.
	KindFailed = "failed"
	// KindProcess is for start, stop and reload of the process and for its dependencies.
	KindProcess = "process"
	// KindState is for changes of the process's state: configuration, runners, gateways.
	KindState = "state"
	// KindDone is for requests that ended without an error of the gateway.
	KindDone = "done"
	// KindStep is for the steps of a request before its end.
	KindStep = "step"
)

const (
	// bufferBytes limits the lines that wait to be written. The last line may exceed it.
	bufferBytes = 256 << 10
	// reservedBytes is the part of the buffer that only lines of failed requests and of
	// the process may use.
	reservedBytes = 64 << 10
	// rateWindow is the window of the rate limits.
	rateWindow = time.Second
)

// maxLinesPerWindow is the maximum number of lines per rateWindow, by kind.
var maxLinesPerWindow = map[string]int{KindFailed: 400, KindProcess: 200, KindState: 200, KindDone: 100, KindStep: 100}

// Field is one key and its value.
type Field struct {
	Key   string
	Value any
}

// F returns a field.
func F(key string, value any) Field { return Field{key, value} }

// Log writes the lines of one process to one writer.
type Log struct {
	process     string
	mu          sync.Mutex
	buffer      bytes.Buffer
	wake        chan struct{}
	counts      map[string]int
	windowStart time.Time
	dropped     map[string]int
	closed      bool
	done        chan struct{}
}

// New starts the log of a process. Close ends it.
func New(process string, w io.Writer) *Log {
	l := &Log{process: process, wake: make(chan struct{}, 1), counts: map[string]int{}, dropped: map[string]int{}, done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write adds a line to the buffer, or drops it. It never waits for the writer.
func (l *Log) Write(kind, event string, fields ...Field) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if now.Sub(l.windowStart) >= rateWindow {
		l.windowStart = now
		clear(l.counts)
		l.writeDropped(now)
	}
	if l.counts[kind]++; l.counts[kind] > maxLinesPerWindow[kind] || l.buffer.Len() > l.maxBuffered(kind) {
		l.dropped[kind]++
		return
	}
	l.append(now, kind, event, fields)
	l.wakeWriter()
}

// maxBuffered returns how many bytes may already be buffered when a line of a kind is added.
func (l *Log) maxBuffered(kind string) int {
	if kind == KindFailed || kind == KindProcess {
		return bufferBytes
	}
	return bufferBytes - reservedBytes
}

// writeDropped writes how many lines of each kind were dropped, unless the buffer is full.
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

// maxValueBytes bounds the text of one value. Requests and responses of others choose some of them.
const maxValueBytes = 4 << 10

func appendText(b []byte, s string) []byte {
	if extra := len(s) - maxValueBytes; extra > 0 {
		s = fmt.Sprintf("%s...(%d more bytes)", s[:maxValueBytes], extra)
	}
	if s == "" || strings.ContainsAny(s, " =\"\n\r\t") {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run writes the buffered lines to w. A blocked writer blocks only this goroutine.
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

// Close writes the buffered lines, waiting no longer than the given time. Later lines are ignored.
func (l *Log) Close(wait time.Duration) {
	l.mu.Lock()
	l.writeDropped(time.Now())
	l.closed = true
	l.mu.Unlock()
	l.wakeWriter()
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}
