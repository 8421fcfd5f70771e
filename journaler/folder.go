package journaler

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockFile   = "lock"
)

// folder is a Disk on the file system.
type folder struct {
	path string
	lock *os.File
}

// OpenFolder opens a data folder for exclusive use by this process, and creates
// the folder if it does not exist.
func OpenFolder(path string) (waxwingseam.Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, trace.NewAggregate(
			trace.AlreadyExists("%s is in use by another process", path),
			lock.Close(),
		)
	}
	f := &folder{path: path, lock: lock}
	return f, syncFolder(filepath.Dir(path))
}

func (f *folder) filePath(name string) string {
	return filepath.Join(f.path, name)
}

// List implements waxwingseam.Disk.
func (f *folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Name() != lockFile && !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile implements waxwingseam.Disk.
func (f *folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(f.filePath(name))
}

// Create implements waxwingseam.Disk.
func (f *folder) Create(name string) (waxwingseam.DiskFile, error) {
	return os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements waxwingseam.Disk.
func (f *folder) Append(name string, offset int64) (waxwingseam.DiskFile, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(offset); err != nil {
		return nil, trace.NewAggregate(err, file.Close())
	}
	return file, nil
}

// Rename implements waxwingseam.Disk.
func (f *folder) Rename(from, to string) error {
	return os.Rename(f.filePath(from), f.filePath(to))
}

// Remove implements waxwingseam.Disk.
func (f *folder) Remove(name string) error {
	return os.Remove(f.filePath(name))
}

// Sync implements waxwingseam.Disk.
func (f *folder) Sync() error {
	return syncFolder(f.path)
}

// Close implements waxwingseam.Disk.
func (f *folder) Close() error {
	return f.lock.Close()
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := d.Sync(); err != nil {
		return trace.NewAggregate(err, d.Close())
	}
	return trace.ConvertSystemError(d.Close())
}
