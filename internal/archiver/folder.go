package archiver

import (
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"hash/maphash"
	"io/fs"
	"os"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	folderMode      = 0o750
	objectMode      = 0o640
	temporaryPrefix = ".tmp-"
	folderShards    = 16
	// maxSyncedGroups bounds the memory of a shard. Evicting groups costs only a
	// few extra fsync calls.
	maxSyncedGroups = 4096
)

// A Folder is the data folder of a disk instance. Each file contains the SHA-256
// digest of an object followed by the object.
type Folder struct {
	root   *os.Root // Rejects paths that escape the folder.
	shards [folderShards]folderShard
}

// A folderShard holds the groups whose folders this process has synced to disk.
type folderShard struct {
	mu     sync.Mutex
	synced map[string]bool
}

// A Group is a folder with objects of one batch job.
type Group struct {
	Name       string
	ModifiedAt time.Time // When an object was last added or removed, in wall time.
}

var folderSeed = maphash.MakeSeed()

// OpenFolder opens a data folder and creates it if it does not exist.
func OpenFolder(name string) (f *Folder, err error) {
	defer func() { err = merry.Prependf(err, "opening data folder %s", name) }()
	if err = os.MkdirAll(name, folderMode); err != nil {
		return nil, err
	}
	root, err := os.OpenRoot(name)
	if err != nil {
		return nil, err
	}
	return &Folder{root: root}, nil
}

// Close releases the folder.
func (f *Folder) Close() error {
	return f.root.Close()
}

// Write stores an object durably: it writes and syncs a temporary file, renames
// it, and syncs the folder.
func (f *Folder) Write(name string, data []byte) (err error) {
	defer func() { err = merry.Prependf(err, "writing object %s", name) }()
	if err = checkObject(name, data); err != nil {
		return err
	}
	group := GroupOf(name)
	if err = f.ensureGroup(group); err != nil {
		return err
	}
	temporary := path.Join(group, temporaryPrefix+rand.Text())
	if err = f.writeSynced(temporary, data); err != nil {
		_ = f.root.Remove(temporary)
		return err
	}
	if err = f.root.Rename(temporary, name); err != nil {
		_ = f.root.Remove(temporary)
		return err
	}
	return f.syncFolder(group)
}

func (f *Folder) writeSynced(name string, data []byte) (err error) {
	file, err := f.root.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, objectMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	digest := sha256.Sum256(data)
	if _, err = file.Write(digest[:]); err != nil {
		return err
	}
	if _, err = file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// ensureGroup creates the folder of a group and syncs its parents, once per
// process. The lock is held meanwhile, so that no other write relies on a folder
// that is not durable yet.
func (f *Folder) ensureGroup(group string) (err error) {
	shard := &f.shards[maphash.String(folderSeed, group)%folderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.synced[group] {
		return nil
	}
	if err = f.root.MkdirAll(group, folderMode); err != nil {
		return err
	}
	for parent := path.Dir(group); ; parent = path.Dir(parent) {
		if err = f.syncFolder(parent); err != nil {
			return err
		}
		if parent == "." {
			break
		}
	}
	if shard.synced == nil || len(shard.synced) >= maxSyncedGroups {
		shard.synced = make(map[string]bool)
	}
	shard.synced[group] = true
	return nil
}

func (f *Folder) syncFolder(name string) (err error) {
	folder, err := f.root.Open(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	return folder.Sync()
}

// Read returns an object after verifying its digest.
func (f *Folder) Read(name string) (data []byte, err error) {
	defer func() { err = merry.Prependf(err, "reading object %s", name) }()
	if err = CheckName(name); err != nil {
		return nil, err
	}
	content, err := f.root.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	if len(content) < sha256.Size {
		return nil, ErrCorrupt
	}
	data = content[sha256.Size:]
	if sha256.Sum256(data) != [sha256.Size]byte(content[:sha256.Size]) {
		return nil, ErrCorrupt
	}
	return data, nil
}

// Groups returns the groups on this disk.
func (f *Folder) Groups() (groups []Group, err error) {
	defer func() { err = merry.Prependf(err, "listing groups") }()
	err = fs.WalkDir(f.root.FS(), ".", func(name string, d fs.DirEntry, err error) error {
		switch {
		case errors.Is(err, fs.ErrNotExist): // Removed during the walk.
			return nil
		case err != nil:
			return err
		case !d.IsDir() || name == ".":
			return nil
		}
		group, leaf, err := f.statGroup(name)
		if err != nil || !leaf {
			return err
		}
		groups = append(groups, group)
		return fs.SkipDir
	})
	return groups, err
}

// statGroup describes a folder if it is a group, which is a folder without
// subfolders.
func (f *Folder) statGroup(name string) (g Group, leaf bool, err error) {
	entries, err := fs.ReadDir(f.root.FS(), name)
	if errors.Is(err, fs.ErrNotExist) {
		return Group{}, false, nil
	}
	if err != nil {
		return Group{}, false, err
	}
	for _, entry := range entries {
		if entry.IsDir() {
			return Group{}, false, nil
		}
	}
	info, err := f.root.Stat(name)
	if errors.Is(err, fs.ErrNotExist) {
		return Group{}, false, nil
	}
	if err != nil {
		return Group{}, false, err
	}
	return Group{Name: name, ModifiedAt: info.ModTime()}, true, nil
}

// Objects returns the names of the objects in a group, including temporary files.
func (f *Folder) Objects(group string) (names []string, err error) {
	defer func() { err = merry.Prependf(err, "listing group %s", group) }()
	entries, err := fs.ReadDir(f.root.FS(), group)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		names = append(names, path.Join(group, entry.Name()))
	}
	return names, nil
}

// Remove deletes an object or a temporary file.
func (f *Folder) Remove(name string) error {
	err := f.root.Remove(name)
	return merry.Prependf(err, "removing object %s", name)
}

// RemoveGroup deletes a group with its objects, and its parent folders that
// become empty.
func (f *Folder) RemoveGroup(group string) (err error) {
	defer func() { err = merry.Prependf(err, "removing group %s", group) }()
	shard := &f.shards[maphash.String(folderSeed, group)%folderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.synced, group)
	if err = f.root.RemoveAll(group); err != nil {
		return err
	}
	for parent := path.Dir(group); parent != "."; parent = path.Dir(parent) {
		if f.root.Remove(parent) != nil { // Not empty.
			return nil
		}
	}
	return nil
}

func isTemporary(name string) bool {
	return strings.HasPrefix(path.Base(name), temporaryPrefix)
}
