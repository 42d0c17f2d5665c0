// Package logs writes hopwell's logs through klog, one line of key=value pairs
// per event. Each layer of the program has its own logger, which is enabled by a
// command-line flag or by the settings.
package logs

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
	"k8s.io/klog/v2"
)

// Layers that `--log` can enable. Warnings and errors of all layers are
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
	layer   string
	enabled atomic.Bool
}

// loggers holds the Logger of each layer.
var loggers = func() map[string]*Logger {
	m := map[string]*Logger{}
	for _, l := range Layers {
		m[l] = &Logger{layer: l}
	}
	return m
}()

// ErrLayer reports an unknown layer name.
type ErrLayer struct {
	Name string
}

// Error implements error.
func (e *ErrLayer) Error() string {
	return "unknown log layer: name=" + e.Name + " expected=" + strings.Join(Layers, ",")
}

// For returns the logger of a layer, nil for an unknown layer.
func For(layer string) *Logger { return loggers[layer] }

// AdoptLibrary redirects the messages of the HTTP library (nbio) to the http layer.
var AdoptLibrary = sync.OnceFunc(func() { logging.SetLogger(libraryLogger{For(LayerHTTP)}) })

// Enable enables the layers of a comma-separated list. It fails with *ErrLayer.
func Enable(list string) error {
	if list == "" {
		return nil
	}
	for _, name := range strings.Split(list, ",") {
		l, ok := loggers[strings.TrimSpace(name)]
		if !ok {
			return &ErrLayer{Name: name}
		}
		l.enabled.Store(true)
	}
	return nil
}

// Info writes an event if the layer is enabled. The arguments are alternating keys
// and values.
func (l *Logger) Info(event string, keysAndValues ...any) {
	if l.enabled.Load() {
		klog.InfoSDepth(1, event, append(keysAndValues, "layer", l.layer)...)
	}
}

// On reports whether the layer is enabled, for callers with arguments that are
// expensive to compute.
func (l *Logger) On() bool { return l.enabled.Load() }

// Warn writes an event even if the layer is not enabled.
func (l *Logger) Warn(event string, err error, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, event, append(keysAndValues, "layer", l.layer)...)
}

// libraryLogger writes nbio's messages at info level to a layer, without debug messages.
// nbio reports closed connections as errors, but here they are normal.
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
