package relay

// Pack exports pack for tests that compare encoded sizes.
func Pack(value any) ([]byte, error) { return pack(value) }
