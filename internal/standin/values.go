package standin

import (
	"encoding/json"
	"errors"
	"fmt"

	"heronwick/internal/state"
)

// Values are what a store holds by key, for tests that carry out each write
// themselves, to look at what every one leaves.
type Values map[string]json.RawMessage

// Apply carries out a write. Its conditions are not checked. The error says which
// limits the write exceeds; it is carried out nevertheless.
func (v Values) Apply(write state.Write, maxTxnOps, maxValueBytes int) error {
	var errs []error
	if len(write.Then) > maxTxnOps || len(write.If) > conditionsPerOp*maxTxnOps {
		errs = append(errs, fmt.Errorf("a write of %d changes and %d conditions", len(write.Then), len(write.If)))
	}
	for _, change := range write.Then {
		if len(change.Value) > maxValueBytes {
			errs = append(errs, fmt.Errorf("a value of %d bytes under %s", len(change.Value), change.Put))
		}
		delete(v, change.Delete)
		if change.Put != "" {
			v[change.Put] = change.Value
		}
	}
	return errors.Join(errs...)
}
