"""An embedded key-value store: a segmented write-ahead log, checkpoints that compact it, and recovery.

Modules, from the lowest layer up:

- `errors`, `options`: exceptions and options of the store.
- `format`, `file_names`: the on-disk format and the names of files.
- `directory`: file operations on a disk, and a dry run that changes nothing.
- `frames`: reading frames from a file.
- `log_index`, `write_ahead_log`: the log, and the location of the newest record of each key in it.
- `checkpoint`, `compaction`: sorted files with the whole state, and the merge of the log into a new one.
- `space_limits`, `disk_space`: expiry and eviction; accounting of disk space and removal of obsolete files.
- `recovery`: restores the newest consistent state when the store is opened.
- `snapshot`, `engine`: consistent reads, and the facade `Store`.
- `batch_queue`, `outage`, `writer`: the writer thread, so that an event loop never waits for a disk.
- `recorder`: the flight recorder's record of one second.
"""
