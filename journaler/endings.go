package journaler

import (
	"errors"
	"io/fs"
	"slices"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	endingsFile = "endings"
	// sizeUnknown is the size of a file that may have been replaced by one of another size.
	sizeUnknown = -1
)

// endingJournal is a log of endings in a folder of its own. Each write adds one record.
type endingJournal struct {
	disk waxwingseam.Disk
	// file is nil after a failed write. The next one opens the file again and truncates it
	// to size.
	file waxwingseam.DiskFile
	size int64
}

// RecoveredEndings is the content of a log of endings at the time it was opened.
type RecoveredEndings struct {
	Messages []waxwingseam.EndingsMessage
	// Damage is set if there was more that can't be read and is not just the record that was
	// being written last. It is dropped: other replicas have these endings.
	Damage error
}

// OpenEndings opens the log of endings in a folder and returns the endings in it. What
// follows the last whole record is dropped. A full disk does not prevent it.
func OpenEndings(disk waxwingseam.Disk) (waxwingseam.EndingJournal, RecoveredEndings, error) {
	l := &endingJournal{disk: disk}
	names, err := disk.List()
	if err != nil {
		return nil, RecoveredEndings{}, trace.ConvertSystemError(err)
	}
	if !slices.Contains(names, endingsFile) {
		return l, RecoveredEndings{}, nil
	}
	recovered, err := l.read()
	return l, recovered, err
}

// read returns the content of the file, and sets size to the end of the last whole record.
func (l *endingJournal) read() (RecoveredEndings, error) {
	var out RecoveredEndings
	data, err := l.disk.ReadFile(endingsFile)
	if err != nil {
		return out, trace.ConvertSystemError(err)
	}
	r := &recordReader{name: endingsFile, data: data}
	for r.more() {
		var list []waxwingseam.EndingsMessage
		if out.Damage = r.next(&list); out.Damage != nil {
			break
		}
		out.Messages = append(out.Messages, list...)
	}
	if out.Damage == nil {
		out.Damage = r.damage
	}
	l.size = int64(r.offset)
	return out, nil
}

// Append implements waxwingseam.EndingJournal.
func (l *endingJournal) Append(list []waxwingseam.EndingsMessage) error {
	data, err := encodeRecord(list)
	if err != nil {
		return err
	}
	if err := l.open(); err != nil {
		return err
	}
	_, err = l.file.Write(data)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return trace.NewAggregate(trace.ConvertSystemError(err), l.closeFile())
	}
	l.size += int64(len(data))
	return nil
}

// open opens the file for appending, and creates it if there is none.
func (l *endingJournal) open() error {
	if l.file != nil {
		return nil
	}
	if l.size == sizeUnknown {
		if err := l.disk.Sync(); err != nil {
			return trace.ConvertSystemError(err)
		}
		if _, err := l.read(); err != nil {
			return err
		}
	}
	file, err := l.disk.Append(endingsFile, l.size)
	if l.size == 0 && errors.Is(err, fs.ErrNotExist) {
		if err := writeFile(l.disk, endingsFile, nil); err != nil {
			return err
		}
		file, err = l.disk.Append(endingsFile, 0)
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.file = file
	return nil
}

func (l *endingJournal) closeFile() error {
	file := l.file
	l.file = nil
	if file == nil {
		return nil
	}
	return trace.ConvertSystemError(file.Close())
}

// Rewrite implements waxwingseam.EndingJournal.
func (l *endingJournal) Rewrite(list []waxwingseam.EndingsMessage) error {
	data, err := encodeRecord(list)
	if err != nil {
		return err
	}
	if err := writeFile(l.disk, endingsFile, data); err != nil {
		// The file may have been replaced already.
		l.size = sizeUnknown
		return trace.NewAggregate(err, l.closeFile())
	}
	l.size = int64(len(data))
	return l.closeFile()
}

// Size implements waxwingseam.EndingJournal.
func (l *endingJournal) Size() int64 {
	return l.size
}

// Close implements waxwingseam.EndingJournal.
func (l *endingJournal) Close() error {
	return trace.NewAggregate(l.closeFile(), trace.ConvertSystemError(l.disk.Close()))
}
