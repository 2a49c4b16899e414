package standin

import (
	"encoding/json"
	"errors"
	"fmt"

	"heronwick/internal/state"
)

// Values holds the values of a store by key. Tests use it to apply writes one by one and to
// inspect the values after each write.
type Values map[string]json.RawMessage

// Apply carries out a write without checking its conditions. The error names the limits that
// the write exceeds; the write is carried out even then.
func (v Values) Apply(write state.Write, maxTxnOps, maxValueBytes int) error {
	var errs []error
	if len(write.Then) > maxTxnOps || len(write.If) > conditionsPerOp*maxTxnOps {
		errs = append(errs, fmt.Errorf("write too large: %d changes and %d conditions", len(write.Then), len(write.If)))
	}
	for _, change := range write.Then {
		if len(change.Value) > maxValueBytes {
			errs = append(errs, fmt.Errorf("value too large: %d bytes under %s", len(change.Value), change.Put))
		}
		delete(v, change.Delete)
		if change.Put != "" {
			v[change.Put] = change.Value
		}
	}
	return errors.Join(errs...)
}
