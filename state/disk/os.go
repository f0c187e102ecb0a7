package disk

// NewOS returns the files of a folder, which is created if it does not exist.
func NewOS(folder string) (FS, error) { return nil, ErrNotFound }
