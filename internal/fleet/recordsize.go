package fleet

import "strconv"

// MaxBytes returns an upper bound of the number of bytes that the record of the machine
// with the name takes in a value.
func (r *Record) MaxBytes(name string) int {
	size := BaseRecordBytes(name) + locationBytes(r.Address, r.Type, r.Zone)
	for task, attempt := range r.Attempts {
		size += AttemptBytes(task, attempt)
	}
	for _, image := range r.Images {
		size += image.maxEncodedBytes()
	}
	return size
}

// The number of bytes that the punctuation and field names of a record take in a value,
// and the maximum for a number.
const (
	recordSyntaxBytes   = len(`"":{"session":,"seq":,"token":,"attempts":{},"images":[]},`) + 3*maxNumberBytes
	locationSyntaxBytes = len(`"address":"","type":"","zone":"","spot":true,`)
	attemptSyntaxBytes  = len(`"":,`)
	imageSyntaxBytes    = len(`{"name":"","gb":},`)
	maxNumberBytes      = 20
)

// BaseRecordBytes returns an upper bound of the number of bytes that a machine's record
// takes in a value without its location, attempts and images.
func BaseRecordBytes(name string) int { return recordSyntaxBytes + len(name) }

// AttemptBytes returns the number of bytes that an attempt takes in a value.
func AttemptBytes(task string, attempt uint64) int {
	return attemptSyntaxBytes + len(task) + len(strconv.FormatUint(attempt, 10))
}

func locationBytes(address, machineType, zone string) int {
	return locationSyntaxBytes + len(address) + len(machineType) + len(zone)
}

// LocationBytes returns an upper bound of the number of bytes that the machine's
// address, type, zone and spot flag take in a value.
func (m *Machine) LocationBytes() int { return locationBytes(m.Address, m.TypeName, m.Zone) }

func (i ImageRecord) maxEncodedBytes() int { return imageSyntaxBytes + len(i.Name) + maxNumberBytes }

// LimitImages drops the least recently used images until the others take at most
// maxBytes. Dropping them is safe because the list of images is only a hint.
func (r *Record) LimitImages(maxBytes int) {
	size := 0
	for i, image := range r.Images {
		if size += image.maxEncodedBytes(); size > maxBytes {
			r.Images = r.Images[:i]
			return
		}
	}
}
