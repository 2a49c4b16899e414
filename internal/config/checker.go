package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"
)

// Upper limits of the values in the settings file. Larger values can only be mistakes.
const (
	maxNumber  = 1e12
	maxSeconds = 1e6
)

// KeyError is the error for a missing or invalid key of the settings file.
type KeyError struct {
	Key    string // dotted path, for example cluster.workers.lease_s
	Reason string // continues the sentence that starts with the key, for example "is missing"
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + " " + e.Reason }

// checker validates values and collects the errors, so that an operator sees all of them
// at once. The values that its methods return may be used only if err returns nil.
type checker struct {
	errs []error
}

func (c *checker) add(key, reason string) {
	c.errs = append(c.errs, &KeyError{Key: key, Reason: reason})
}

// err returns all collected errors joined, or nil if there are none.
func (c *checker) err() error {
	if len(c.errs) == 0 {
		return nil
	}
	return fmt.Errorf("settings: %w", errors.Join(c.errs...))
}

// text checks that a string is present and not empty.
func (c *checker) text(key string, v *string) string {
	if v == nil || *v == "" {
		c.add(key, "is missing")
		return ""
	}
	return *v
}

// address checks that a string has the form host:port.
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

// number checks that a number is present, at least lowest and at most maxNumber.
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

// integer checks that an integer is present and at least lowest.
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

// seconds checks that a duration in seconds is present, at least lowest and at most
// maxSeconds, and converts it.
func (c *checker) seconds(key string, v *float64, lowest float64) time.Duration {
	n := c.number(key, v, lowest)
	if n > maxSeconds {
		c.add(key, fmt.Sprintf("must be at most %d", int(maxSeconds)))
		return 0
	}
	return seconds(n)
}
