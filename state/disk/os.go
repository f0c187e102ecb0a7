package disk

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

type osFS struct{ folder string }

// NewOS returns an FS of real files in a folder, which it creates if it does not exist.
func NewOS(folder string) (FS, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "disk: create folder")
	}
	// The entry of a new folder is durable only once its parent is synced.
	if err := syncFolder(filepath.Dir(filepath.Clean(folder))); err != nil {
		return nil, err
	}
	return osFS{folder: folder}, nil
}

func checkName(name string) error {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, `/\`) {
		return errors.Wrapf(ErrInvalidName, "%q", name)
	}
	return nil
}

func (f osFS) path(name string) (string, error) {
	if err := checkName(name); err != nil {
		return "", err
	}
	return filepath.Join(f.folder, name), nil
}

// Open implements FS.
func (f osFS) Open(name string) (File, error) {
	path, err := f.path(name)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "disk: open")
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (f osFS) Rename(from, to string) error {
	source, err := f.path(from)
	if err != nil {
		return err
	}
	target, err := f.path(to)
	if err != nil {
		return err
	}
	return wrap(os.Rename(source, target), "disk: rename")
}

// Remove implements FS.
func (f osFS) Remove(name string) error {
	path, err := f.path(name)
	if err != nil {
		return err
	}
	return wrap(os.Remove(path), "disk: remove")
}

// List implements FS.
func (f osFS) List() ([]string, error) {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, errors.Wrap(err, "disk: list folder")
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// SyncFolder implements FS.
func (f osFS) SyncFolder() error { return syncFolder(f.folder) }

func syncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "disk: open folder")
	}
	defer handle.Close()
	return wrap(handle.Sync(), "disk: sync folder")
}

// wrap adds a message to an error and turns fs.ErrNotExist into ErrNotFound.
func wrap(err error, message string) error {
	if errors.Is(err, fs.ErrNotExist) {
		return errors.Wrapf(ErrNotFound, "%s: %v", message, err)
	}
	return errors.Wrap(err, message)
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.Wrap(err, "disk: stat")
	}
	return info.Size(), nil
}
