package fleet

// NameID and Encode are for tests that speak as a member.
func NameID(name string) uint32 { return nameID(name) }

// Encode is a message with one record.
func Encode(from, r Record) []byte {
	q := message{Type: gossip, From: from, Updates: []Record{r}}
	b, _ := q.encode(MaxMessage)
	return b
}
