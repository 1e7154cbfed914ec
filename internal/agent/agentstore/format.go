package agentstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// formatVersion is the version of the file format. Files of older versions can be read; fields that they lack are zero.
const formatVersion uint32 = 1

// versionSize is the size of the stored version in bytes.
const versionSize = 4

// Names of the buckets and keys in the file.
var (
	metaBucket      = []byte("meta")
	instancesBucket = []byte("instances") // key: name of the instance
	commandsBucket  = []byte("commands")  // key: ID of the command
	intentsBucket   = []byte("intents")   // key: ID of the command
	historyBucket   = []byte("history")   // key: serial, big-endian
	versionKey      = []byte("version")   // key in metaBucket; value: formatVersion, big-endian
	bootKey         = []byte("boot")      // key in metaBucket; value: State.BootID
)

// initialize creates the buckets that a new file or one of an older format lacks, and writes the version.
func initialize(tx *bbolt.Tx) error {
	for _, name := range [][]byte{metaBucket, instancesBucket, commandsBucket, intentsBucket, historyBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return fmt.Errorf("create bucket %s: %w", name, err)
		}
	}
	return tx.Bucket(metaBucket).Put(versionKey, binary.BigEndian.AppendUint32(nil, formatVersion))
}

// readState reads the complete state into a zero State.
func readState(tx *bbolt.Tx, state *State) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return nil // the file is new
	}
	if err := checkVersion(meta.Get(versionKey)); err != nil {
		return err
	}
	state.BootID = string(meta.Get(bootKey))
	return errors.Join(
		readBucket(tx, instancesBucket, &state.Instances),
		readBucket(tx, commandsBucket, &state.Commands),
		readBucket(tx, intentsBucket, &state.Intents),
		readBucket(tx, historyBucket, &state.History),
	)
}

func checkVersion(raw []byte) error {
	if len(raw) != versionSize {
		return fmt.Errorf("%w: version has %d bytes, expected %d", ErrCorrupt, len(raw), versionSize)
	}
	if version := binary.BigEndian.Uint32(raw); version > formatVersion {
		return fmt.Errorf("%w: format version %d, expected at most %d", ErrNewerFormat, version, formatVersion)
	}
	return nil
}

// readBucket appends the decoded values of a bucket to a list, in key order.
func readBucket[V any](tx *bbolt.Tx, name []byte, list *[]V) error {
	bucket := tx.Bucket(name)
	if bucket == nil {
		return nil // the file was written by a build that did not have this bucket
	}
	return bucket.ForEach(func(key, raw []byte) error {
		var value V
		if err := json.Unmarshal(raw, &value); err != nil {
			return fmt.Errorf("%w: bucket %s, key %q: %w", ErrCorrupt, name, key, err)
		}
		*list = append(*list, value)
		return nil
	})
}

// writeChange writes a change and trims the history to its newest historyLimit entries.
func writeChange(tx *bbolt.Tx, c *Change, historyLimit int) error {
	var errs []error
	if c.BootID != "" {
		errs = append(errs, tx.Bucket(metaBucket).Put(bootKey, []byte(c.BootID)))
	}
	for _, in := range c.Instances {
		errs = append(errs, putJSON(tx, instancesBucket, []byte(in.Name), in))
	}
	errs = append(errs, writeCommands(tx, c), appendHistory(tx, c.History, historyLimit))
	return errors.Join(errs...)
}

// writeCommands writes and deletes the commands and intents of a change.
func writeCommands(tx *bbolt.Tx, c *Change) error {
	var errs []error
	for _, command := range c.Commands {
		errs = append(errs, putJSON(tx, commandsBucket, []byte(command.ID), command))
	}
	for _, id := range c.DeletedCommands {
		errs = append(errs, tx.Bucket(commandsBucket).Delete([]byte(id)))
	}
	if c.Intent != nil {
		errs = append(errs, putJSON(tx, intentsBucket, []byte(c.Intent.ID), c.Intent))
	}
	for _, id := range c.CompletedIntents {
		errs = append(errs, tx.Bucket(intentsBucket).Delete([]byte(id)))
	}
	return errors.Join(errs...)
}

// appendHistory writes new entries and deletes the oldest ones beyond the limit.
func appendHistory(tx *bbolt.Tx, entries []Entry, limit int) error {
	if len(entries) == 0 {
		return nil
	}
	var errs []error
	for _, entry := range entries {
		errs = append(errs, putJSON(tx, historyBucket, binary.BigEndian.AppendUint64(nil, entry.Serial), entry))
	}
	last := entries[len(entries)-1].Serial
	if last <= uint64(limit) {
		return errors.Join(errs...)
	}
	lastDeleted := last - uint64(limit)
	cursor := tx.Bucket(historyBucket).Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= lastDeleted; key, _ = cursor.First() {
		errs = append(errs, cursor.Delete())
	}
	return errors.Join(errs...)
}

// putJSON stores a value as JSON under a key of a bucket.
func putJSON(tx *bbolt.Tx, bucket, key []byte, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s %q: %w", bucket, key, err)
	}
	if err := tx.Bucket(bucket).Put(key, raw); err != nil {
		return fmt.Errorf("write %s %q: %w", bucket, key, err)
	}
	return nil
}
