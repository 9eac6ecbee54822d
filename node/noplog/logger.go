// Package noplog provides a logger that discards the log output of libraries.
package noplog

// Logger discards everything. It implements the Logger interface of gnet.
type Logger struct{}

func (Logger) Debugf(string, ...any) {}
func (Logger) Infof(string, ...any)  {}
func (Logger) Warnf(string, ...any)  {}
func (Logger) Errorf(string, ...any) {}
func (Logger) Fatalf(string, ...any) {}
