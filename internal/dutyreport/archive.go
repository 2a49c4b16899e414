// Package dutyreport turns the history of the single duties of running controllers into
// an archive file and a page with plots.
package dutyreport

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/parquet-go/parquet-go"

	"heronwick/wire"
)

// Errors of this package.
var (
	ErrRead  = errors.New("the archive cannot be read")
	ErrWrite = errors.New("the archive cannot be written")
)

// row is an event as the archive, a Parquet file, holds it.
type row struct {
	At    time.Time `parquet:"at,timestamp(microsecond),delta"`
	Kind  string    `parquet:"kind,dict"`
	Duty  string    `parquet:"duty,dict"`
	Node  string    `parquet:"node,dict"`
	Token uint64    `parquet:"token,delta"`
	Count int64     `parquet:"count"`
	TookS float64   `parquet:"took_s"`
}

// WriteArchive writes events to a Parquet file.
func WriteArchive(path string, events []wire.DutyEvent) error {
	rows := make([]row, 0, len(events))
	for _, e := range events {
		rows = append(rows, row{At: e.At.UTC(), Kind: e.Kind, Duty: e.Duty, Node: e.Node, Token: e.Token, Count: int64(e.Count), TookS: e.TookS})
	}
	if err := parquet.WriteFile(path, rows, parquet.Compression(&parquet.Zstd)); err != nil {
		return fmt.Errorf("%w: %w", ErrWrite, err)
	}
	return nil
}

// ReadArchive reads what WriteArchive wrote.
func ReadArchive(path string) (events []wire.DutyEvent, err error) {
	defer func() {
		// The reader checks less of a damaged file than it relies on.
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %s: %v", ErrRead, path, r)
		}
	}()
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRead, err)
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
