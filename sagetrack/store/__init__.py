"""A small embedded store: a segmented write-ahead log, checkpoints that compact it, and recovery.

Modules, from the bytes up:

- `errors`, `options`: what callers pass in and catch.
- `format`, `file_names`: the bytes of files, and how files are named.
- `directory`: the file operations that the store needs; a disk, and a dry run.
- `frames`: reading frames from a file.
- `log_index`, `write_ahead_log`: the log and where its newest record of each key is.
- `checkpoint`, `compaction`: the sorted base of the state and how a new one replaces it.
- `space_limits`, `disk_space`: expiry and eviction; bytes in use and removal of obsolete files.
- `recovery`: what is found on opening.
- `snapshot`, `engine`: a consistent view, and the facade `Store`.
- `writer`: a thread of its own, so that an event loop never waits for a disk.
- `recorder`: the flight recorder's record of one second.
"""
