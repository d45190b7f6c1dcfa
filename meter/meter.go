// Package meter sets up metrics and logs of a daemon.
package meter

import (
	"fmt"
	"io"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// reportInterval is how often metric values are passed to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope of a daemon and the handler that exposes it.
type Metrics struct {
	Scope tally.Scope
	// ScrapeHandler answers in the Prometheus text format.
	ScrapeHandler fasthttp.RequestHandler
	closer        io.Closer
}

// latencyBuckets are the upper bounds of the buckets of all timers, seconds.
var latencyBuckets = []float64{0.001, 0.005, 0.01, 0.03, 0.1, 0.3, 0.85, 2, 10, 60, 600}

// New returns the metrics of a process.
func New(process string) *Metrics {
	// Not the default registry: one test may run several processes' parts.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cactustide",
		Tags:                   map[string]string{"process": process},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:         scope,
		ScrapeHandler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
		closer:        closer,
	}
}

// CountPlatformCall counts a call to the platform's service, and whether it failed.
func (m *Metrics) CountPlatformCall(op string, failed bool) {
	scope := m.Scope.Tagged(map[string]string{"call": op})
	scope.Counter("platform_calls").Inc(1)
	if failed {
		scope.Counter("platform_failures").Inc(1)
	}
}

// Close stops the reporting loop and waits until it has ended.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Logger writes log lines with the prefix of one component.
type Logger struct {
	entry  *logrus.Entry
	prefix string
}

// NewLogger returns a logger for a component, such as "agent". The settings
// validate level and format; an unknown level means info, an unknown format text.
func NewLogger(out io.Writer, level, format, component string) *Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{TimestampFormat: time.RFC3339Nano, FullTimestamp: true, DisableColors: true})
	}
	return &Logger{entry: logrus.NewEntry(logger), prefix: component + ": "}
}

// With returns a logger that adds a field to each line.
func (l *Logger) With(key string, value any) *Logger {
	return &Logger{entry: l.entry.WithField(key, value), prefix: l.prefix}
}

// IsDebugEnabled reports whether debug lines are written.
func (l *Logger) IsDebugEnabled() bool { return l.entry.Logger.IsLevelEnabled(logrus.DebugLevel) }

// Debugf logs details for troubleshooting.
func (l *Logger) Debugf(format string, args ...any) { l.entry.Debugf(l.prefix+format, args...) }

// maxLibraryMessage bounds the logged length of a library's message, bytes: it may
// quote what a peer sent.
const maxLibraryMessage = 120

// Printf logs a message of the HTTP library at debug level.
func (l *Logger) Printf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	l.entry.Debug(l.prefix + line[:min(maxLibraryMessage, len(line))])
}

// Infof logs an event of normal operation.
func (l *Logger) Infof(format string, args ...any) { l.entry.Infof(l.prefix+format, args...) }

// Warnf logs what may need an operator's attention.
func (l *Logger) Warnf(format string, args ...any) { l.entry.Warnf(l.prefix+format, args...) }

// Errorf logs what needs an operator's attention.
func (l *Logger) Errorf(format string, args ...any) { l.entry.Errorf(l.prefix+format, args...) }
