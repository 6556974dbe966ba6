// Package reporter sets up the logging and metrics of a process.
package reporter

import (
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// A LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	FormatJSON LogFormat = "json"
	FormatText LogFormat = "text"
)

// Names of log fields that several packages use, in kebab case.
const (
	FieldBackendServer = "backend-server"
	FieldFailureDomain = "failure-domain"
	FieldInstance      = "instance"
	FieldReason        = "reason"
	FieldRoute         = "route"
	FieldWorkspace     = "workspace"
)

// timestampFormat has milliseconds, which are precise enough to merge the log
// lines of several processes on one host.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// A LogConfig configures a logger.
type LogConfig struct {
	Format LogFormat // Empty means FormatJSON.
	Level  string    // A level of logrus, such as "debug"; empty means "info".
}

// NewLogger returns a logger that writes to w, drops fields that may hold secrets, and
// truncates long ones.
func NewLogger(cfg LogConfig, w io.Writer) (logger *logrus.Logger, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "set up the log")
		}
	}()

	formatter, err := newFormatter(cfg.Format)
	if err != nil {
		return nil, err
	}
	level, err := parseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}

	logger = logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(formatter)
	logger.SetLevel(level)
	logger.AddHook(RedactionHook{})
	logger.AddHook(TruncationHook{})
	return logger, nil
}

func newFormatter(format LogFormat) (logrus.Formatter, error) {
	switch format {
	case "", FormatJSON:
		return &logrus.JSONFormatter{
			TimestampFormat: timestampFormat,
			FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "message"},
		}, nil
	case FormatText:
		return &logrus.TextFormatter{
			TimestampFormat: timestampFormat,
			FullTimestamp:   true,
			DisableColors:   true,
		}, nil
	default:
		return nil, merry.Errorf("log format %q is not one of %q, %q", format, FormatJSON, FormatText)
	}
}

func parseLevel(level string) (logrus.Level, error) {
	if level == "" {
		return logrus.InfoLevel, nil
	}
	return logrus.ParseLevel(level)
}
