// Package logs writes hopwell's logs through klog: one line of key=value pairs
// for each event. Every layer of the program has a logger of its own, which a
// command-line flag switches on.
package logs

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
	"k8s.io/klog/v2"
)

// Layers that `--log` can switch on. Warnings and errors of all layers are
// always written.
const (
	LayerGateway = "gateway"
	LayerSidecar = "sidecar"
	LayerFleet   = "fleet"
	LayerHTTP    = "http"
	LayerWire    = "wire"
)

// Layers lists all layers.
var Layers = []string{LayerGateway, LayerSidecar, LayerFleet, LayerHTTP, LayerWire}

// Logger writes the events of one layer.
type Logger struct {
	layer string
	on    atomic.Bool
}

// loggers holds one Logger for each layer, made once.
var loggers = func() map[string]*Logger {
	m := map[string]*Logger{}
	for _, l := range Layers {
		m[l] = &Logger{layer: l}
	}
	return m
}()

// ErrLayer reports that no layer has that name.
type ErrLayer struct {
	Name string
}

// Error implements error.
func (e *ErrLayer) Error() string {
	return "unknown log layer: name=" + e.Name + " expected=" + strings.Join(Layers, ",")
}

// For returns the logger of a layer.
func For(layer string) *Logger { return loggers[layer] }

// AdoptLibrary sends the HTTP library's own messages to the http layer.
var AdoptLibrary = sync.OnceFunc(func() { logging.SetLogger(libraryLogger{For(LayerHTTP)}) })

// Enable switches on the layers of a comma-separated list. It fails with
// *ErrLayer.
func Enable(list string) error {
	if list == "" {
		return nil
	}
	for _, name := range strings.Split(list, ",") {
		l, ok := loggers[strings.TrimSpace(name)]
		if !ok {
			return &ErrLayer{Name: name}
		}
		l.on.Store(true)
	}
	return nil
}

// Info writes an event if the layer is on. The arguments are keys and values
// in turn.
func (l *Logger) Info(event string, keysAndValues ...any) {
	if l.on.Load() {
		klog.InfoSDepth(1, event, append(keysAndValues, "layer", l.layer)...)
	}
}

// On reports whether the layer is switched on, for callers whose arguments
// cost something to make.
func (l *Logger) On() bool { return l.on.Load() }

// Warn writes an event whether the layer is on or not.
func (l *Logger) Warn(event string, err error, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, event, append(keysAndValues, "layer", l.layer)...)
}

// libraryLogger sends nbio's messages to a layer. nbio reports closed
// connections as errors, which are ordinary events here.
type libraryLogger struct{ l *Logger }

func (a libraryLogger) Debug(string, ...any) {}

func (a libraryLogger) Info(format string, v ...any) { a.write(format, v) }

func (a libraryLogger) Warn(format string, v ...any) { a.write(format, v) }

func (a libraryLogger) Error(format string, v ...any) { a.write(format, v) }

func (a libraryLogger) write(format string, v []any) {
	if a.l.On() {
		klog.InfofDepth(2, "library=nbio "+strings.TrimSpace(format), v...)
	}
}
