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

// stateFormat is the version of the form in which the last good list is kept.
const stateFormat = 1

// savedState is the last good list on disk.
type savedState struct {
	Format int             `json:"format"`
	SHA256 string          `json:"sha256"` // of Body
	Body   json.RawMessage `json:"body"`   // a File
}

// errNoState tells that no list is kept.
var errNoState = errors.New("no list is kept")

// loadState reads the list that was kept at path. One that is damaged is an error and not a list.
func loadState(path string) (*File, error) {
	text, err := readBounded(path, 8*MaxFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoState
	}
	if err != nil {
		return nil, err
	}
	var k savedState
	if err := json.Unmarshal(text, &k); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if k.Format != stateFormat {
		return nil, fmt.Errorf("%s: format %d; this program reads %d", path, k.Format, stateFormat)
	}
	if sum := sha256.Sum256(k.Body); hex.EncodeToString(sum[:]) != k.SHA256 {
		return nil, fmt.Errorf("%s: damaged: the checksum does not fit", path)
	}
	f := new(File)
	if err := json.Unmarshal(k.Body, f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// saveState keeps a list at path: the new one whole or the one before it, whatever happens in between.
func saveState(path string, f *File) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	sum := sha256.Sum256(body)
	text, err := json.Marshal(savedState{Format: stateFormat, SHA256: hex.EncodeToString(sum[:]), Body: body})
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	if err := replaceFile(path, text); err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// replaceFile puts text in the place of the file at path. The file is synced before it gets its name, and the folder
// after that, so that a crash leaves either the old text or the new.
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
	if closed := tmp.Close(); err == nil {
		err = closed
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

// readBounded reads a regular file of at most limit bytes.
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
		return nil, fmt.Errorf("%s: over %d bytes", path, limit)
	}
	return text, nil
}
