package relay

// Pack is the encoding of large message content, for tests that compare sizes.
func Pack(value any) ([]byte, error) { return pack(value) }
