package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"
)

// Limits of what the file may hold; larger values are taken for mistakes.
const (
	maxNumber  = 1e12
	maxSeconds = 1e6
)

// KeyError says what is wrong with a key of the settings file.
type KeyError struct {
	Key    string // dotted, for example cluster.workers.lease_s
	Reason string // to be read after the key, for example "is missing"
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + " " + e.Reason }

// checker checks values and collects what is wrong with them, so that an operator
// sees all of it at once. What its methods return counts only if err returns nil.
type checker struct {
	errs []error
}

func (c *checker) add(key, reason string) {
	c.errs = append(c.errs, &KeyError{Key: key, Reason: reason})
}

// err returns all that was found wrong, nil if nothing was.
func (c *checker) err() error {
	if len(c.errs) == 0 {
		return nil
	}
	return fmt.Errorf("settings: %w", errors.Join(c.errs...))
}

// text checks that a value is there and is not empty.
func (c *checker) text(key string, v *string) string {
	if v == nil || *v == "" {
		c.add(key, "is missing")
		return ""
	}
	return *v
}

// address checks that a value has the form host:port.
func (c *checker) address(key string, v *string) string {
	address := c.text(key, v)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		c.add(key, fmt.Sprintf("must be host:port, not %q", address))
	}
	return address
}

// number checks that a value is there and at least lowest.
func (c *checker) number(key string, v *float64, lowest float64) float64 {
	if v == nil {
		c.add(key, "is missing")
		return 0
	}
	if math.IsNaN(*v) || *v < lowest || *v > maxNumber {
		c.add(key, fmt.Sprintf("must be at least %v, not %v", lowest, *v))
		return 0
	}
	return *v
}

// integer checks that a value is there and at least lowest.
func (c *checker) integer(key string, v *int64, lowest int64) int64 {
	if v == nil {
		c.add(key, "is missing")
		return 0
	}
	if *v < lowest {
		c.add(key, fmt.Sprintf("must be at least %d, not %d", lowest, *v))
		return 0
	}
	return *v
}

// seconds checks that a value is there and at least lowest, both in seconds.
func (c *checker) seconds(key string, v *float64, lowest float64) time.Duration {
	n := c.number(key, v, lowest)
	if n > maxSeconds {
		c.add(key, fmt.Sprintf("must be at most %d", int(maxSeconds)))
		return 0
	}
	return seconds(n)
}
