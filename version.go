package siskin

// Era counts how often the platform's store has returned from an older copy. The
// first one is FirstEra. In a new era the store has lost its latest writes and
// gives out their revisions again for other ones.
type Era uint64

// FirstEra is the era of a store that has never returned from an older copy.
const FirstEra Era = 1

// Version is the version of an object, or of the whole store. Versions are
// ordered over all eras: each one of an era is larger than all of earlier eras.
// Zero means that the object does not exist.
//
// The era is in the upper bits. FirstEra adds nothing to the revision, so VMs
// that do not know eras agree on the versions of a store that has never returned
// from an older copy.
type Version uint64

const (
	revisionBits = 40
	// maxVersionBits keeps versions exact for readers that treat JSON numbers
	// and fencing tokens as floating-point numbers.
	maxVersionBits = 53
)

// NewVersion returns the version of a revision in an era.
func NewVersion(era Era, revision uint64) (Version, error) {
	if era < FirstEra || era-FirstEra >= 1<<(maxVersionBits-revisionBits) || revision >= 1<<revisionBits {
		return 0, NewError(BadInput, "revision %d of era %d of the store is out of range", revision, era)
	}
	return Version(uint64(era-FirstEra)<<revisionBits | revision), nil
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v>>revisionBits) + FirstEra }

// Revision returns the store's number of the version, which is unique within its
// era only.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }
