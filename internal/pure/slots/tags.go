package slots

// HashTags holds one hash tag of four bytes for each slot. A key that starts with that hash tag in braces
// belongs to the slot, whatever the rest of the key is.
type HashTags struct{ bySlot [Count][4]byte }

// tagAlphabet contains no braces, spaces or characters that must be escaped in a log or URL.
const tagAlphabet = "0123456789abcdefghijklmnopqrstuvwxyz-_"

// NewHashTags computes all hash tags. This takes some milliseconds and 64 KiB, so call it once.
func NewHashTags() *HashTags {
	t := &HashTags{}
	missing := Count
	var b [4]byte
	for i := 0; missing > 0; i++ {
		n := i
		for j := range b {
			b[j] = tagAlphabet[n%len(tagAlphabet)]
			n /= len(tagAlphabet)
		}
		if slot := ForKey(b[:]); t.bySlot[slot][0] == 0 {
			t.bySlot[slot] = b
			missing--
		}
	}
	return t
}

// ForSlot returns the hash tag of a slot.
func (t *HashTags) ForSlot(slot int) string { return string(t.bySlot[slot][:]) }
