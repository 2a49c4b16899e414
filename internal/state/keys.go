package state

import (
	"fmt"
	"strconv"
	"strings"
)

// MemberKey returns a key that is written during one membership of a node only.
// since is the token of the epoch in which the node joined as a member, so no two
// memberships ever write the same key.
func MemberKey(prefix, node string, since uint64, name string) string {
	return fmt.Sprintf("%s%s/%d/%s", prefix, node, since, name)
}

// KeyOwner identifies the only membership that writes a key made by MemberKey.
type KeyOwner struct {
	Node  string
	Since uint64 // token of the epoch in which the node joined as a member
}

// OwnerOfKey returns the membership that writes a key made by MemberKey. ok is
// false if MemberKey cannot have made the key.
func OwnerOfKey(prefix, key string) (owner KeyOwner, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if len(parts) != 3 {
		return KeyOwner{}, false
	}
	since, err := strconv.ParseUint(parts[1], 10, 64)
	return KeyOwner{Node: parts[0], Since: since}, err == nil
}

// CountFittingNames returns how many of the names, from the first on, fit in a value
// of limit bytes. The result is at least one unless there are no names. The value
// without names takes base bytes, and each name takes its length plus perName bytes.
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
