package state

import (
	"fmt"
	"strconv"
	"strings"
)

// MemberKey is a key that one membership of a node alone writes: since is the
// membership's, so that no two memberships ever name the same one.
func MemberKey(prefix, node string, since uint64, name string) string {
	return fmt.Sprintf("%s%s/%d/%s", prefix, node, since, name)
}

// NamesThatFit returns how many of the names fit a value of so many bytes, one at least,
// of which base are taken and each name takes so much beside itself.
func NamesThatFit(names []string, base, each, limit int) int {
	size := base
	for i, name := range names {
		if size += len(name) + each; i > 0 && size > limit {
			return i
		}
	}
	return len(names)
}

// MemberOfKey tells whose a MemberKey is; ok is false for a key of another form.
func MemberOfKey(prefix, key string) (node string, since uint64, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if len(parts) != 3 {
		return "", 0, false
	}
	since, err := strconv.ParseUint(parts[1], 10, 64)
	return parts[0], since, err == nil
}
