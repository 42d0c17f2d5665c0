package store

import (
	"fmt"
	"strconv"
)

// Revision is a position in the history of a store: the era of the store in the upper bits, the
// number that the store assigned in the lower ones. A store that is restored from an older backup
// reuses numbers in the next era. Revisions of a later era are greater than all earlier ones, so
// they compare as integers. The zero value precedes all changes.
type Revision uint64

const (
	// numberBits is how many bits of a revision hold the number.
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// RevisionOf returns the revision of a number in an era. It fails with *ErrRevision if either is too
// large.
func RevisionOf(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, &ErrRevision{Era: era, Number: number}
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era, which counts the restores of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns NUMBER for era 0, ERA.NUMBER otherwise.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(r.Era(), 10) + "." + number
}

// ErrRevision reports an era or a number that a revision can't hold.
type ErrRevision struct {
	Era, Number uint64
}

// Error implements error.
func (e *ErrRevision) Error() string {
	return fmt.Sprintf("revision too large: era=%d number=%d", e.Era, e.Number)
}
