/// \file
/// Durable storage of one group member: identity, snapshot and write-ahead log.
///
/// A generation consists of a snapshot file and a log file. The file CURRENT
/// holds the number of the active generation and is replaced by an atomic
/// rename, so that a crash leaves either the old or the new generation active.
#ifndef SASSAFRAS_REPLICATION_DISK_LOG_H
#define SASSAFRAS_REPLICATION_DISK_LOG_H

#include "wire/inner.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Failure to read or write a file of the data folder.
struct DiskError {
  std::string File;
  std::string Reason;
  /// The system reported it, or another process uses the folder; the content is
  /// not known to be damaged.
  bool IsTemporary = false;
};

/// Content of the data folder as read by DiskLog::open.
struct DiskContent {
  uint64_t Identity = 0;
  bool IsBlank = true; ///< No generation yet: the member has never voted.
  wire::Snapshot Snapshot;
  wire::HardState HardState;
  std::vector<wire::LogEntry> Entries;
  uint64_t TornBytes = 0; ///< Truncated from the end of the log.
};

/// Reader and writer of one data folder. Not thread safe. A file lock ensures
/// that only one process uses the folder at a time. After a function has
/// failed, lastError() gives the cause.
class DiskLog {
public:
  explicit DiskLog(std::string Folder);
  ~DiskLog();
  DiskLog(const DiskLog &) = delete;
  DiskLog &operator=(const DiskLog &) = delete;

  /// Reads the folder. Creates the folder and a new identity if there is none.
  /// Records that were never synced may be torn anywhere and are truncated;
  /// damage to synced records is an error. Returns std::nullopt on error, with
  /// the cause in \p Error.
  std::optional<DiskContent> open(DiskError &Error);
  /// Writes a record, which is durable once sync() has returned true.
  /// Precondition: the folder has a generation.
  bool append(const wire::DiskRecord &Record);
  /// Replaces the snapshot and the log by a new generation, which is durable
  /// on return.
  bool replace(const wire::Snapshot &Snapshot, const wire::HardState &HardState,
               const std::vector<wire::LogEntry> &Entries);
  /// Waits until all appended records are durable. Returns at once if there are
  /// none since the last call.
  bool sync();
  const DiskError &lastError() const { return LastError; }

private:
  std::string path(const std::string &Name) const;
  bool fail(const std::string &File, const std::string &Reason);
  bool failTemporarily(const std::string &File, const std::string &Reason);
  bool writeFile(const std::string &Name, const std::string &Bytes);
  bool syncFolder();
  bool openLog(uint64_t Size);
  bool write(wire::DiskRecord Record);
  std::optional<uint64_t> readIdentity();
  bool readLog(const std::string &Bytes, DiskContent &Content,
               uint64_t &ValidSize);

  std::string Folder;
  uint64_t Generation = 0;
  int LogFile = -1;
  int LockFile = -1;
  bool IsDirty = false;
  uint64_t WrittenBytes = 0; ///< Size of the log file.
  uint64_t SyncedBytes = 0;  ///< Durable part of it, from the start.
  DiskError LastError;
};

/// Encodes one record as it is stored in the log file: magic number, payload
/// size, checksum and payload.
std::string encodeRecord(const wire::DiskRecord &Record);

} // namespace sassafras

#endif
