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

// loss says what a host's failure does to what was not synced.
type loss string

const (
	// losesAll forgets it.
	losesAll loss = "loses all"
	// keepsAll keeps it by chance.
	keepsAll loss = "keeps all"
	// keepsHalf keeps the first half of a write, and the names.
	keepsHalf loss = "keeps half"
	// keepsLength keeps the length of a write and none of its bytes.
	keepsLength loss = "keeps the length"
)

var losses = []loss{losesAll, keepsAll, keepsHalf, keepsLength}

// forgetfulDisk is a Disk in memory that may fail at any step and then forgets
// what was not synced.
type forgetfulDisk struct {
	names   map[string]*inode
	durable map[string]*inode
	// steps counts the steps that change the disk; from failAt on they fail.
	steps   int
	failAt  int
	failure error
}

type inode struct {
	data   []byte
	synced []byte
}

func newForgetfulDisk() *forgetfulDisk {
	return &forgetfulDisk{
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// step counts a step; an error says that it does not take place.
func (d *forgetfulDisk) step() error {
	d.steps++
	if d.failAt > 0 && d.steps >= d.failAt {
		return d.failure
	}
	return nil
}

// crash applies a host's failure and makes the disk work again.
func (d *forgetfulDisk) crash(l loss) {
	d.failAt = 0
	if l == losesAll || l == keepsLength {
		d.names = maps.Clone(d.durable)
	}
	for _, n := range d.names {
		n.data = l.remains(n)
		n.synced = n.data
	}
	d.durable = maps.Clone(d.names)
}

func (l loss) remains(n *inode) []byte {
	if !bytes.HasPrefix(n.data, n.synced) {
		return slices.Clone(n.synced)
	}
	unsynced := n.data[len(n.synced):]
	switch l {
	case keepsAll:
		return n.data
	case keepsHalf:
		return slices.Clone(n.data[:len(n.synced)+len(unsynced)/2])
	case keepsLength:
		return append(slices.Clone(n.synced), make([]byte, len(unsynced))...)
	}
	return slices.Clone(n.synced)
}

func (d *forgetfulDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.names)), nil
}

func (d *forgetfulDisk) ReadFile(name string) ([]byte, error) {
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

func (d *forgetfulDisk) Create(name string) (waxwingseam.DiskFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.names[name] = &inode{}
	return &forgetfulFile{disk: d, inode: d.names[name]}, nil
}

func (d *forgetfulDisk) Append(name string, offset int64) (waxwingseam.DiskFile, error) {
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if err := d.step(); err != nil {
		return nil, err
	}
	n.data = slices.Clone(n.data[:offset])
	return &forgetfulFile{disk: d, inode: n}, nil
}

func (d *forgetfulDisk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *forgetfulDisk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *forgetfulDisk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (d *forgetfulDisk) Close() error {
	return nil
}

type forgetfulFile struct {
	disk  *forgetfulDisk
	inode *inode
}

// Write leaves half of the bytes where the step fails.
func (f *forgetfulFile) Write(data []byte) (int, error) {
	if err := f.disk.step(); err != nil {
		f.inode.data = append(f.inode.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

func (f *forgetfulFile) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *forgetfulFile) Close() error {
	return nil
}

var (
	errCrash = trace.Errorf("the host failed")
	errFull  = &fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}
)
