package journaler

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// lossMode is the effect of a host's failure on unsynced bytes and file names.
type lossMode string

const (
	// loseAll loses all unsynced bytes and names.
	loseAll lossMode = "loses all"
	// keepAll keeps all unsynced bytes and names.
	keepAll lossMode = "keeps all"
	// keepHalf keeps the first half of the unsynced bytes, and all names.
	keepHalf lossMode = "keeps half"
	// keepLength replaces the unsynced bytes by zeros, and loses unsynced names.
	keepLength lossMode = "keeps the length"
)

var lossModes = []lossMode{loseAll, keepAll, keepHalf, keepLength}

// crashDisk is a Disk in memory that can fail at any step and then lose unsynced
// data.
type crashDisk struct {
	names   map[string]*inode
	durable map[string]*inode
	// steps counts the steps that change the disk. From step failAt on, if it is
	// set, each step fails with failure.
	steps   int
	failAt  int
	failure error
}

type inode struct {
	data   []byte
	synced []byte
}

func newCrashDisk() *crashDisk {
	return &crashDisk{
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// step counts a step and returns an error if the step must fail.
func (d *crashDisk) step() error {
	d.steps++
	if d.failAt > 0 && d.steps >= d.failAt {
		return d.failure
	}
	return nil
}

// crash simulates a host's failure, after which the disk works again.
func (d *crashDisk) crash(l lossMode) {
	d.failAt = 0
	if l == loseAll || l == keepLength {
		d.names = maps.Clone(d.durable)
	}
	for _, n := range d.names {
		n.data = l.contentAfterCrash(n)
		n.synced = n.data
	}
	d.durable = maps.Clone(d.names)
}

func (l lossMode) contentAfterCrash(n *inode) []byte {
	if !bytes.HasPrefix(n.data, n.synced) {
		return slices.Clone(n.synced)
	}
	unsynced := n.data[len(n.synced):]
	switch l {
	case keepAll:
		return n.data
	case keepHalf:
		return slices.Clone(n.data[:len(n.synced)+len(unsynced)/2])
	case keepLength:
		return append(slices.Clone(n.synced), make([]byte, len(unsynced))...)
	}
	return slices.Clone(n.synced)
}

func (d *crashDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.names)), nil
}

func (d *crashDisk) ReadFile(name string) ([]byte, error) {
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

func (d *crashDisk) Create(name string) (waxwingseam.DiskFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.names[name] = &inode{}
	return &crashFile{disk: d, inode: d.names[name]}, nil
}

func (d *crashDisk) Append(name string, offset int64) (waxwingseam.DiskFile, error) {
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if err := d.step(); err != nil {
		return nil, err
	}
	n.data = slices.Clone(n.data[:offset])
	return &crashFile{disk: d, inode: n}, nil
}

func (d *crashDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *crashDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *crashDisk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (d *crashDisk) Close() error {
	return nil
}

type crashFile struct {
	disk  *crashDisk
	inode *inode
}

// Write writes only half of the bytes if the step fails.
func (f *crashFile) Write(data []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		f.inode.data = append(f.inode.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

func (f *crashFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *crashFile) Close() error {
	return nil
}

var (
	errCrash = trace.Errorf("the host failed")
	errFull  = &fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}
)
