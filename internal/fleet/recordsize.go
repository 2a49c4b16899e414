package fleet

import "strconv"

// MaxBytes returns at most how many bytes the record takes of a value, under a machine's
// name.
func (r *Record) MaxBytes(name string) int {
	size := BaseRecordBytes(name) + placeBytes(r.Address, r.Type, r.Zone)
	for task, attempt := range r.Attempts {
		size += AttemptBytes(task, attempt)
	}
	for _, image := range r.Images {
		size += image.bytes()
	}
	return size
}

// Bytes that the punctuation and the field names of a record take of a value, and
// its numbers at most.
const (
	recordSyntax  = len(`"":{"session":,"seq":,"token":,"attempts":{},"images":[]},`) + 3*maxDigits
	placeSyntax   = len(`"address":"","type":"","zone":"","spot":true,`)
	attemptSyntax = len(`"":,`)
	imageSyntax   = len(`{"name":"","gb":},`)
	maxDigits     = 20
)

// BaseRecordBytes returns at most how many bytes a machine's record takes of a value
// besides its place, attempts and images.
func BaseRecordBytes(name string) int { return recordSyntax + len(name) }

// AttemptBytes returns how many bytes an attempt takes of a value.
func AttemptBytes(task string, attempt uint64) int {
	return attemptSyntax + len(task) + len(strconv.FormatUint(attempt, 10))
}

func placeBytes(address, machineType, zone string) int {
	return placeSyntax + len(address) + len(machineType) + len(zone)
}

// LocationBytes returns how many bytes the machine's address, type and zone take of a
// value.
func (m *Machine) LocationBytes() int { return placeBytes(m.Address, m.TypeName, m.Zone) }

func (i ImageRecord) bytes() int { return imageSyntax + len(i.Name) + maxDigits }

// LimitImages drops the least recently used images until the rest takes at most
// maxBytes: which images a machine has is a hint only.
func (r *Record) LimitImages(maxBytes int) {
	size := 0
	for i, image := range r.Images {
		if size += image.bytes(); size > maxBytes {
			r.Images = r.Images[:i]
			return
		}
	}
}
