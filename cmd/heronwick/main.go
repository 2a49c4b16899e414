// Command heronwick is a controller of the heronwick cluster scheduler.
//
// "heronwick run", the default, runs a controller until it is killed; it exits
// with 1 if it cannot run and with 2 if its arguments or settings are wrong.
// "heronwick duties" has the operator's commands for single duties, which talk to
// running controllers over HTTP.
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
	exitUsage   = 2 // wrong arguments or settings
)

// arguments is what the command line may hold.
type arguments struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Run a controller until it is killed (the default)."`
	Duties   dutiesCommand    `cmd:"" help:"Look at the single duties of running controllers."`
	LogLevel string           `help:"How much to log to standard error: error, info or debug." env:"LOG_LEVEL" default:"info" enum:"error,info,debug"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// logLevel is the least level that is logged, as the command line names it.
type logLevel string

// usageError says that the arguments or the settings are wrong. It ends the
// program with exitUsage.
type usageError struct{ err error }

// Error implements error.
func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
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

// newLogger makes a log of text lines that name the node.
func newLogger(w io.Writer, level logLevel, node string) *slog.Logger {
	var minLevel slog.Level
	_ = minLevel.UnmarshalText([]byte(level)) // the argument's enum allows only valid ones
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})).With("node", node)
}
