// Package revision orders the states of the key-value service across its returns from older copies of its data. After such a return the
// service's own revisions go back and are given out again; its era, which rises by one each time, tells them apart. Both are
// combined in one number, so that whatever compares revisions puts every state of a later era after those of earlier ones. Fencing
// tokens are such numbers and never repeat or go back.
package revision

// numberBits is the number of bits for the service's own revision. Numbers of the first thousands of eras can be represented in a
// float64, to which some decoders of JSON convert them.
const numberBits = 40

const maxNumber = 1<<numberBits - 1

// Of combines an era and the service's own revision in it. Revision 0, for a key that does not exist, is 0 in all eras.
func Of(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<numberBits | min(number, maxNumber)
}

// Era returns the era of a combined revision.
func Era(r uint64) uint64 { return r >> numberBits }

// Number returns the service's own revision in its era.
func Number(r uint64) uint64 { return r & maxNumber }
