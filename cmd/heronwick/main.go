// Command heronwick is a controller of the heronwick cluster scheduler.
//
// "heronwick run", the default, runs a controller until it is killed. It exits with
// status 1 if the controller fails and with status 2 if arguments or settings are
// invalid. "heronwick duties" contains operator commands for the single duties, which
// call running controllers over HTTP.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

const version = "0.2.0"

// Exit codes.
const (
	exitFailure = 1 // the command failed
	exitUsage   = 2 // invalid arguments or settings
)

// arguments defines the command line.
type arguments struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Run a controller until it is killed (the default)."`
	Duties   dutiesCommand    `cmd:"" help:"Inspect and change the single duties of running controllers."`
	LogLevel string           `help:"Lowest level to log to standard error: error, info or debug." env:"LOG_LEVEL" default:"info" enum:"error,info,debug"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// logLevel is the lowest level that is logged, by its name on the command line.
type logLevel string

// usageError reports invalid arguments or settings. The program exits with exitUsage
// for it.
type usageError struct{ err error }

// Error implements error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

func main() {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("heronwick"),
		kong.Description("A controller of the heronwick cluster scheduler. It runs until it is killed."),
		kong.Vars{"version": "heronwick " + version},
	)
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v (see --help)\n", err)
		os.Exit(exitUsage)
	}
	if err := command.Run(logLevel(args.LogLevel)); err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v\n", err)
		if _, ok := errors.AsType[usageError](err); ok {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

// newLogger returns a logger that writes text lines to w, each with the node's name.
func newLogger(w io.Writer, level logLevel, node string) *slog.Logger {
	var minLevel slog.Level
	_ = minLevel.UnmarshalText([]byte(level)) // cannot fail: the flag's enum allows only valid levels
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})).With("node", node)
}
