package idempotency

// Opening returns an empty record. A stream covers the keys that are younger
// than its first record, so one is written to each stream before any key
// comes.
func Opening(id string) ([]byte, error) {
	return encode(Record{ID: id})
}
