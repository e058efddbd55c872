#include "replication/disk_log.h"

#include "core/hash.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace sassafras {

namespace {

/// Magic number at the start of each record. A search for it behind an invalid
/// record distinguishes a torn end of the log from damage.
constexpr char RecordMagic[4] = {'\x5a', 'S', 'F', '1'};
constexpr size_t MagicSize = sizeof RecordMagic;
constexpr size_t HeaderSize = MagicSize + sizeof(uint32_t) + sizeof(uint64_t);
constexpr const char *IdentityName = "identity";
constexpr const char *CurrentName = "CURRENT";
constexpr const char *LockName = "lock";

std::string logName(uint64_t Generation) {
  return "log-" + std::to_string(Generation);
}

std::string snapshotName(uint64_t Generation) {
  return "snapshot-" + std::to_string(Generation);
}

bool writeAll(int File, const std::string &Bytes) {
  size_t done = 0;
  while (done < Bytes.size()) {
    ssize_t n = ::write(File, Bytes.data() + done, Bytes.size() - done);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

bool readAll(int File, std::string &Out) {
  char buf[16 * 1024];
  for (;;) {
    ssize_t n = ::read(File, buf, sizeof buf);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return n == 0;
    Out.append(buf, static_cast<size_t>(n));
  }
}

/// Reads the file, nothing if there is none. Returns false, with the reason in
/// errno, if the file cannot be read.
bool readFile(const std::string &Path, std::optional<std::string> &Out) {
  int file = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0)
    return errno == ENOENT;
  std::string bytes;
  bool isRead = readAll(file, bytes);
  int reason = errno;
  ::close(file);
  errno = reason;
  if (isRead)
    Out = std::move(bytes);
  return isRead;
}

/// Parses the record at \p Offset and returns its size in bytes, or 0 if there
/// is no valid record.
size_t parseRecordAt(std::string_view Bytes, size_t Offset,
                     wire::DiskRecord &Record) {
  if (Offset > Bytes.size() || Bytes.size() - Offset < HeaderSize)
    return 0;
  const char *start = Bytes.data() + Offset;
  if (std::memcmp(start, RecordMagic, MagicSize) != 0)
    return 0;
  uint32_t size = 0;
  uint64_t checksum = 0;
  std::memcpy(&size, start + MagicSize, sizeof size);
  std::memcpy(&checksum, start + MagicSize + sizeof size, sizeof checksum);
  if (size > Bytes.size() - Offset - HeaderSize)
    return 0;
  std::string_view payload = Bytes.substr(Offset + HeaderSize, size);
  if (checksumOf(payload) != checksum)
    return 0;
  if (!Record.ParseFromArray(payload.data(), static_cast<int>(size)))
    return 0;
  return HeaderSize + size;
}

/// True if a record after \p Offset states that the bytes at \p Offset were
/// synced before it was written. A power loss cannot have torn those bytes.
bool wasSynced(std::string_view Bytes, size_t Offset) {
  std::string_view magic(RecordMagic, MagicSize);
  wire::DiskRecord record;
  for (size_t n = Bytes.find(magic, Offset); n != std::string_view::npos;
       n = Bytes.find(magic, n + 1))
    if (parseRecordAt(Bytes, n, record) > 0 && record.synced_bytes() > Offset)
      return true;
  return false;
}

std::string frame(const std::string &Payload) {
  std::string out(RecordMagic, MagicSize);
  auto size = static_cast<uint32_t>(Payload.size());
  uint64_t checksum = checksumOf(Payload);
  out.append(reinterpret_cast<const char *>(&size), sizeof size);
  out.append(reinterpret_cast<const char *>(&checksum), sizeof checksum);
  return out + Payload;
}

/// Applies one log record to the content read so far. An entry replaces the
/// entries from its index on. Returns false if the entry's index leaves a gap.
bool applyRecord(wire::DiskRecord &Record, DiskContent &Content) {
  if (Record.has_hard_state()) {
    Content.HardState = Record.hard_state();
    return true;
  }
  if (!Record.has_entry())
    return true;
  uint64_t index = Record.entry().index();
  uint64_t first = Content.Snapshot.index() + 1;
  if (index < first)
    return true;
  if (index > first + Content.Entries.size())
    return false;
  Content.Entries.resize(index - first);
  Content.Entries.push_back(std::move(*Record.mutable_entry()));
  return true;
}

} // namespace

std::string encodeRecord(const wire::DiskRecord &Record) {
  return frame(Record.SerializeAsString());
}

DiskLog::DiskLog(std::string Folder) : Folder(std::move(Folder)) {}

DiskLog::~DiskLog() {
  if (LogFile >= 0)
    ::close(LogFile);
  if (LockFile >= 0)
    ::close(LockFile);
}

std::string DiskLog::path(const std::string &Name) const {
  return Folder + "/" + Name;
}

bool DiskLog::fail(const std::string &File, const std::string &Reason) {
  LastError = {path(File), Reason};
  return false;
}

bool DiskLog::failTemporarily(const std::string &File,
                              const std::string &Reason) {
  LastError = {path(File), Reason, true};
  return false;
}

bool DiskLog::syncFolder() {
  int folder = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0)
    return failTemporarily("", std::strerror(errno));
  bool isSynced = ::fsync(folder) == 0;
  ::close(folder);
  return isSynced || failTemporarily("", std::strerror(errno));
}

bool DiskLog::writeFile(const std::string &Name, const std::string &Bytes) {
  std::string temporary = path(Name + ".new");
  int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0)
    return failTemporarily(Name, std::strerror(errno));
  bool isWritten = writeAll(file, Bytes) && ::fdatasync(file) == 0;
  ::close(file);
  if (!isWritten)
    return failTemporarily(Name, std::strerror(errno));
  if (::rename(temporary.c_str(), path(Name).c_str()) != 0)
    return failTemporarily(Name, std::strerror(errno));
  return syncFolder();
}

std::optional<uint64_t> DiskLog::readIdentity() {
  std::optional<std::string> text;
  std::optional<std::string> current;
  if (!readFile(path(IdentityName), text)) {
    failTemporarily(IdentityName, std::strerror(errno));
    return std::nullopt;
  }
  if (text) {
    uint64_t identity = std::strtoull(text->c_str(), nullptr, 16);
    if (identity != 0)
      return identity;
    fail(IdentityName, "damaged: no nonzero hexadecimal number");
    return std::nullopt;
  }
  if (!readFile(path(CurrentName), current)) {
    failTemporarily(CurrentName, std::strerror(errno));
    return std::nullopt;
  }
  if (current) {
    fail(IdentityName, "missing, although the folder contains a log");
    return std::nullopt;
  }
  uint64_t identity = generateIdentity();
  char buf[32];
  std::snprintf(buf, sizeof buf, "%016llx\n",
                static_cast<unsigned long long>(identity));
  if (!writeFile(IdentityName, buf))
    return std::nullopt;
  return identity;
}

bool DiskLog::readLog(const std::string &Bytes, DiskContent &Content,
                      uint64_t &ValidSize) {
  ValidSize = 0;
  wire::DiskRecord record;
  while (size_t n = parseRecordAt(Bytes, ValidSize, record)) {
    if (!applyRecord(record, Content))
      return fail(logName(Generation), "entry index leaves a gap at byte " +
                                           std::to_string(ValidSize));
    ValidSize += n;
  }
  if (ValidSize < Bytes.size() && wasSynced(Bytes, ValidSize))
    return fail(logName(Generation), "damaged record in synced data at byte " +
                                         std::to_string(ValidSize));
  Content.TornBytes = Bytes.size() - ValidSize;
  return true;
}

bool DiskLog::openLog(uint64_t Size) {
  if (LogFile >= 0)
    ::close(LogFile);
  std::string name = logName(Generation);
  LogFile = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  if (LogFile < 0)
    return failTemporarily(name, std::strerror(errno));
  auto end = static_cast<off_t>(Size);
  if (::ftruncate(LogFile, end) != 0 || ::fdatasync(LogFile) != 0 ||
      ::lseek(LogFile, end, SEEK_SET) != end)
    return failTemporarily(name, std::strerror(errno));
  WrittenBytes = Size;
  SyncedBytes = Size;
  return true;
}

std::optional<DiskContent> DiskLog::open(DiskError &Error) {
  DiskContent content;
  std::error_code ec;
  std::filesystem::create_directories(Folder, ec);
  LockFile = ::open(path(LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (LockFile < 0) {
    failTemporarily(LockName, std::strerror(errno));
    Error = LastError;
    return std::nullopt;
  }
  if (::flock(LockFile, LOCK_EX | LOCK_NB) != 0) {
    failTemporarily(LockName, "locked by another process");
    Error = LastError;
    return std::nullopt;
  }
  auto identity = readIdentity();
  if (!identity) {
    Error = LastError;
    return std::nullopt;
  }
  content.Identity = *identity;
  std::optional<std::string> current;
  if (!readFile(path(CurrentName), current)) {
    failTemporarily(CurrentName, std::strerror(errno));
    Error = LastError;
    return std::nullopt;
  }
  if (!current)
    return content;
  Generation = std::strtoull(current->c_str(), nullptr, 10);
  std::optional<std::string> snapshot;
  std::optional<std::string> log;
  if (!readFile(path(snapshotName(Generation)), snapshot) ||
      !readFile(path(logName(Generation)), log)) {
    failTemporarily("", "generation " + std::to_string(Generation) +
                            " cannot be read: " + std::strerror(errno));
    Error = LastError;
    return std::nullopt;
  }
  if (!snapshot || !log) {
    fail(CurrentName, "snapshot or log of the active generation is missing");
    Error = LastError;
    return std::nullopt;
  }
  uint64_t checksum = 0;
  bool isValid = snapshot->size() >= sizeof checksum;
  if (isValid) {
    std::memcpy(&checksum, snapshot->data(), sizeof checksum);
    snapshot->erase(0, sizeof checksum);
    isValid = checksumOf(*snapshot) == checksum &&
              content.Snapshot.ParseFromString(*snapshot);
  }
  uint64_t validSize = 0;
  if (!isValid)
    fail(snapshotName(Generation), "damaged: checksum or format mismatch");
  if (!isValid || !readLog(*log, content, validSize) || !openLog(validSize)) {
    Error = LastError;
    return std::nullopt;
  }
  content.IsBlank = false;
  return content;
}

bool DiskLog::write(wire::DiskRecord Record) {
  Record.set_synced_bytes(SyncedBytes);
  std::string bytes = encodeRecord(Record);
  WrittenBytes += bytes.size();
  if (writeAll(LogFile, bytes))
    return true;
  return failTemporarily(logName(Generation), std::strerror(errno));
}

bool DiskLog::append(const wire::DiskRecord &Record) {
  IsDirty = true;
  return write(Record);
}

bool DiskLog::sync() {
  if (!IsDirty)
    return true;
  IsDirty = false;
  if (::fdatasync(LogFile) != 0)
    return failTemporarily(logName(Generation), std::strerror(errno));
  SyncedBytes = WrittenBytes;
  // An empty record states that everything before it was synced. It need not
  // be durable itself.
  return write({});
}

bool DiskLog::replace(const wire::Snapshot &Snapshot,
                      const wire::HardState &HardState,
                      const std::vector<wire::LogEntry> &Entries) {
  uint64_t old = Generation++;
  std::string bytes = Snapshot.SerializeAsString();
  uint64_t checksum = checksumOf(bytes);
  bytes.insert(0, reinterpret_cast<const char *>(&checksum), sizeof checksum);
  std::string log;
  wire::DiskRecord record;
  *record.mutable_hard_state() = HardState;
  log += encodeRecord(record);
  for (const wire::LogEntry &it : Entries) {
    *record.mutable_entry() = it;
    log += encodeRecord(record);
  }
  if (!writeFile(snapshotName(Generation), bytes) ||
      !writeFile(logName(Generation), log) ||
      !writeFile(CurrentName, std::to_string(Generation) + "\n") ||
      !openLog(log.size()))
    return false;
  IsDirty = false;
  ::unlink(path(snapshotName(old)).c_str());
  ::unlink(path(logName(old)).c_str());
  return true;
}

} // namespace sassafras
