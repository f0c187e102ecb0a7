package bundle

// Canonicalize sorts all lists and normalizes header and host names in place, so that equal configurations have equal
// digests.
func Canonicalize(b *Bundle) {}
