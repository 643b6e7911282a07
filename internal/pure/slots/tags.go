package slots

// HashTags is a text for each slot that has that slot: four bytes of a small alphabet, found once. What stands as a hash tag ahead
// of a key gives it the slot, whatever the key holds.
type HashTags struct{ bySlot [Count][4]byte }

// tagAlphabet holds no brace, blank or byte that a log or URL would have to escape.
const tagAlphabet = "0123456789abcdefghijklmnopqrstuvwxyz-_"

// NewHashTags finds them: 64 KiB, and some milliseconds once.
func NewHashTags() *HashTags {
	t := &HashTags{}
	left := Count
	var b [4]byte
	for i := 0; left > 0; i++ {
		n := i
		for j := range b {
			b[j] = tagAlphabet[n%len(tagAlphabet)]
			n /= len(tagAlphabet)
		}
		if at := ForKey(b[:]); t.bySlot[at][0] == 0 {
			t.bySlot[at] = b
			left--
		}
	}
	return t
}

// ForSlot is the tag of a slot.
func (t *HashTags) ForSlot(slot int) string { return string(t.bySlot[slot][:]) }
