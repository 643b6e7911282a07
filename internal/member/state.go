package member

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"mossproxy.example/mossproxy/internal/watch"
)

// stateFormat is the version of the file format in which the last good list is stored.
const stateFormat = 1

// savedState is the file with the last good list.
type savedState struct {
	Format int             `json:"format"`
	SHA256 string          `json:"sha256"` // of Body, in hex
	Body   json.RawMessage `json:"body"`   // a File as JSON
}

// errNoState means that no list has been saved.
var errNoState = errors.New("no saved list")

// loadState reads the list that was saved at path. It returns errNoState if there is none, and another error
// if it is damaged or has an unknown format.
func loadState(path string) (*File, error) {
	text, err := readBounded(path, 8*MaxFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoState
	}
	if err != nil {
		return nil, err
	}
	var saved savedState
	if err := json.Unmarshal(text, &saved); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if saved.Format != stateFormat {
		return nil, fmt.Errorf("%s: format %d; this program reads %d", path, saved.Format, stateFormat)
	}
	if sum := sha256.Sum256(saved.Body); hex.EncodeToString(sum[:]) != saved.SHA256 {
		return nil, fmt.Errorf("%s: damaged: checksum mismatch", path)
	}
	f := new(File)
	if err := json.Unmarshal(saved.Body, f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// saveState stores a list at path. After a crash, the file holds either the new list or the previous one.
func saveState(path string, f *File) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("saving the list: %w", err)
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(savedState{Format: stateFormat, SHA256: hex.EncodeToString(sum[:]), Body: body})
	if err != nil {
		return fmt.Errorf("saving the list: %w", err)
	}
	if err := replaceFile(path, text); err != nil {
		return fmt.Errorf("saving the list: %w", err)
	}
	return nil
}

// replaceFile replaces the file at path atomically. The new file is synced before it is renamed and the
// directory afterwards, so that a crash leaves either the old text or the new.
func replaceFile(path string, text []byte) error {
	dir := filepath.Dir(path)
	tmp, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(text)
	if err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// readBounded reads a regular file. It returns an error if the file is longer than limit bytes.
func readBounded(path string, limit int64) ([]byte, error) {
	f, _, err := watch.OpenRegular(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, limit)
	}
	return text, nil
}
