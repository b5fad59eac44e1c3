package cmds

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"siskintray.example/siskin"
)

// maxInput is the largest file that a command reads, an export of all
// documents.
const maxInput = 128 << 20

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "file cannot be read").WithCause(err).WithRemedy("check the path")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxInput+1))
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "file cannot be read").WithCause(err).WithRemedy("name a regular file")
	}
	if len(data) > maxInput {
		return nil, siskin.NewError(siskin.TooLarge, "%s is larger than %d bytes", path, maxInput).WithRemedy("name the right file")
	}
	return data, nil
}

// writeFile writes a new file that only its owner reads, since answers and
// changes hold passwords. The file appears whole or not at all, and an existing
// one is kept.
func writeFile(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".siskintray-*") // mode 0600
	if err != nil {
		return siskin.NewError(siskin.BadInput, "file cannot be written").WithCause(err).WithRemedy("check the directory")
	}
	defer os.Remove(f.Name())
	_, err = f.Write(data)
	if err = errors.Join(err, f.Close()); err != nil {
		return siskin.NewError(siskin.Unavailable, "file cannot be written").WithCause(err).WithRemedy("check the free space")
	}
	if err := os.Link(f.Name(), path); err != nil {
		return siskin.NewError(siskin.BadInput, "file cannot be created").WithCause(err).WithRemedy("name a file that does not exist yet")
	}
	return nil
}
