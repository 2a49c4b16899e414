package state

import (
	"fmt"
	"strconv"
	"strings"
)

// MemberKey returns a key that one membership of a node alone writes. since is
// the epoch token of the membership, so no two memberships ever have the same
// key.
func MemberKey(prefix, node string, since uint64, name string) string {
	return fmt.Sprintf("%s%s/%d/%s", prefix, node, since, name)
}

// KeyOwner is the membership that alone writes a key made by MemberKey.
type KeyOwner struct {
	Node  string
	Since uint64 // epoch token of the membership
}

// OwnerOfKey returns the membership that writes a key made by MemberKey; ok is
// false for a key of another form.
func OwnerOfKey(prefix, key string) (owner KeyOwner, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if len(parts) != 3 {
		return KeyOwner{}, false
	}
	since, err := strconv.ParseUint(parts[1], 10, 64)
	return KeyOwner{Node: parts[0], Since: since}, err == nil
}

// CountFittingNames returns how many of the names fit a value of limit bytes, at
// least one. The value takes base bytes without any name, and each name takes
// perName bytes besides its own.
func CountFittingNames(names []string, base, perName, limit int) int {
	size := base
	for i, name := range names {
		size += len(name) + perName
		if i > 0 && size > limit {
			return i
		}
	}
	return len(names)
}
