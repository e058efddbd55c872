/// \file
/// The files of one control member: identity, snapshot and write-ahead log.
///
/// A generation is a snapshot and a log; the file CURRENT names the one in
/// force and is replaced by rename, so a crash leaves one or the other.
#ifndef SASSAFRAS_REPLICATION_DISK_LOG_H
#define SASSAFRAS_REPLICATION_DISK_LOG_H

#include "wire/inner.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Why files could not be read or written.
struct DiskError {
  std::string File;
  std::string Reason;
};

/// What the folder held at the start.
struct DiskContent {
  uint64_t Identity = 0;
  bool IsBlank = true; ///< No snapshot yet: the member never voted.
  wire::Snapshot Snapshot;
  wire::HardState HardState;
  std::vector<wire::LogEntry> Entries;
  uint64_t TornBytes = 0; ///< Cut from the end of the log.
};

/// Writer of one data folder. Not thread safe; one process at a time, which
/// a lock on the folder enforces.
class DiskLog {
public:
  explicit DiskLog(std::string Folder);
  ~DiskLog();
  DiskLog(const DiskLog &) = delete;
  DiskLog &operator=(const DiskLog &) = delete;

  /// Reads the folder, creating it and an identity when it is new. Nothing
  /// on failure, with the cause in \p Problem: what was never synced may be
  /// torn anywhere and is cut; damage to what was synced is a failure.
  std::optional<DiskContent> open(DiskError &Problem);
  /// Adds a record; it lasts once sync has returned true.
  bool append(const wire::DiskRecord &Record);
  /// Replaces everything by a new generation; synced on return.
  bool replace(const wire::Snapshot &Snapshot, const wire::HardState &HardState,
               const std::vector<wire::LogEntry> &Entries);
  /// Waits until all records are on the disk. Cheap when nothing is new.
  bool sync();
  const DiskError &lastError() const { return LastProblem; }

private:
  std::string path(const std::string &Name) const;
  bool fail(const std::string &File, const std::string &Reason);
  bool writeFile(const std::string &Name, const std::string &Bytes);
  bool syncFolder();
  bool openLog(uint64_t Size);
  bool write(wire::DiskRecord Record);
  std::optional<uint64_t> readIdentity();
  bool readLog(const std::string &Bytes, DiskContent &Content,
               uint64_t &GoodSize);

  std::string Folder;
  uint64_t Generation = 0;
  int LogFile = -1;
  int LockFile = -1;
  bool IsDirty = false;
  uint64_t WrittenBytes = 0; ///< Of the log file.
  uint64_t SyncedBytes = 0;
  DiskError LastProblem;
};

/// Bytes of one record as they stand in the log file.
std::string encodeRecord(const wire::DiskRecord &Record);

} // namespace sassafras

#endif
