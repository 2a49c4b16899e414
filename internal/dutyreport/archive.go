package dutyreport

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/parquet-go/parquet-go"

	"heronwick/wire"
)

// Errors of reading and writing archives. They are returned wrapped together with their cause.
var (
	// ErrRead reports an archive that is missing or corrupt.
	ErrRead = errors.New("failed to read the archive")
	// ErrWrite reports an archive that could not be written.
	ErrWrite = errors.New("failed to write the archive")
)

// row is the Parquet schema of one event.
type row struct {
	At    time.Time `parquet:"at,timestamp(microsecond),delta"`
	Kind  string    `parquet:"kind,dict"`
	Duty  string    `parquet:"duty,dict"`
	Node  string    `parquet:"node,dict"`
	Token uint64    `parquet:"token,delta"`
	Count int64     `parquet:"count"`
	TookS float64   `parquet:"took_s"`
}

// WriteArchive writes events to a Parquet file at path, one row per event, and replaces the
// file if it exists. Times are stored in UTC with microsecond precision. It returns ErrWrite
// on failure.
func WriteArchive(path string, events []wire.DutyEvent) error {
	rows := make([]row, 0, len(events))
	for _, e := range events {
		rows = append(rows, row{At: e.At.UTC(), Kind: e.Kind, Duty: e.Duty, Node: e.Node, Token: e.Token, Count: int64(e.Count), TookS: e.TookS})
	}
	if err := parquet.WriteFile(path, rows, parquet.Compression(&parquet.Zstd)); err != nil {
		return fmt.Errorf("%w: %w", ErrWrite, err) // the cause includes the path
	}
	return nil
}

// ReadArchive returns the events that WriteArchive wrote to path, in the same order. It
// returns ErrRead on failure.
func ReadArchive(path string) (events []wire.DutyEvent, err error) {
	defer func() {
		// The Parquet reader panics on some corrupt files.
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %s: %v", ErrRead, path, cause)
		}
	}()
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRead, err) // the cause includes the path
	}
	rows, err := parquet.ReadFile[row](path)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrRead, path, err)
	}
	for _, r := range rows {
		events = append(events, wire.DutyEvent{At: r.At, Kind: r.Kind, Duty: r.Duty, Node: r.Node, Token: r.Token, Count: int(r.Count), TookS: r.TookS})
	}
	return events, nil
}
