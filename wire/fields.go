package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

const (
	// maxAmount bounds every amount. Larger amounts can only be mistakes, and the
	// bound keeps sums of amounts finite.
	maxAmount = 1e9
	// maxTextBytes bounds the length of every string.
	maxTextBytes = 200
)

// fields decodes the fields of a JSON object by name and keeps the first error. Names
// must match exactly, whereas struct decoding by encoding/json ignores case and would
// accept "UID" for "uid".
type fields struct {
	raw map[string]json.RawMessage
	err *FieldError
}

// fail records an error for a field, unless an error was recorded before.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Reason: reason}
	}
}

// value returns the JSON text of a field. ok is false if the field is missing or null.
func (f *fields) value(name string) (raw json.RawMessage, ok bool) {
	raw, ok = f.raw[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil, false
	}
	return raw, true
}

// parser decodes and validates the JSON text of the named field.
type parser[T any] func(name string, raw json.RawMessage) T

// required parses a field, and records an error if it is missing.
func required[T any](f *fields, name string, parse parser[T]) T {
	raw, ok := f.value(name)
	if !ok {
		f.fail(name, "is missing")
		var zero T
		return zero
	}
	return parse(name, raw)
}

// optional parses a field. It returns nil if the field is missing.
func optional[T any](f *fields, name string, parse parser[T]) *T {
	raw, ok := f.value(name)
	if !ok {
		return nil
	}
	value := parse(name, raw)
	return &value
}

func (f *fields) text(name string) string { return required(f, name, f.parseText) }

func (f *fields) flag(name string) bool { return required(f, name, f.parseFlag) }

func (f *fields) amount(name string) float64 { return required(f, name, f.parseAmount) }

// count parses an integer that must be between low and high, inclusive.
func (f *fields) count(name string, low, high int) int {
	return required(f, name, func(name string, raw json.RawMessage) int {
		return f.parseCount(name, raw, low, high)
	})
}

func (f *fields) parseText(name string, raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		f.fail(name, "must be a string")
		return ""
	}
	if text == "" || len(text) > maxTextBytes {
		f.fail(name, fmt.Sprintf("must have 1 to %d bytes", maxTextBytes))
	}
	return text
}

func (f *fields) parseFlag(name string, raw json.RawMessage) bool {
	var flag bool
	if json.Unmarshal(raw, &flag) != nil {
		f.fail(name, "must be true or false")
	}
	return flag
}

func (f *fields) parseAmount(name string, raw json.RawMessage) float64 {
	var amount float64
	if json.Unmarshal(raw, &amount) != nil || math.IsNaN(amount) || math.IsInf(amount, 0) {
		f.fail(name, "must be a number")
		return 0
	}
	if amount < 0 || amount > maxAmount {
		f.fail(name, "is out of range")
	}
	return amount
}

func (f *fields) parseCount(name string, raw json.RawMessage, low, high int) int {
	var count int64
	if json.Unmarshal(raw, &count) != nil {
		f.fail(name, "must be an integer")
		return 0
	}
	if count < int64(low) || count > int64(high) {
		f.fail(name, fmt.Sprintf("must be between %d and %d", low, high))
		return 0
	}
	return int(count)
}

// decodeStrings decodes a JSON list of strings. ok is false if raw is anything else or if
// an entry is null.
func decodeStrings(raw json.RawMessage) (list []string, ok bool) {
	var entries []*string
	if json.Unmarshal(raw, &entries) != nil {
		return nil, false
	}
	for _, entry := range entries {
		if entry == nil {
			return nil, false
		}
		list = append(list, *entry)
	}
	return list, true
}
