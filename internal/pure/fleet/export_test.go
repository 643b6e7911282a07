package fleet

// NameID is nameID for tests that send messages as a member.
func NameID(name string) uint32 { return nameID(name) }

// Encode returns a gossip message with one record.
func Encode(from, r Record) []byte {
	q := message{Type: gossip, From: from, Updates: []Record{r}}
	b, _ := q.encode(MaxMessage)
	return b
}
