#include "replication/disk_log.h"

#include "core/hash.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <unistd.h>

namespace sassafras {

namespace {

/// Start of each record; a search for it tells a torn end from damage.
constexpr char RecordMark[4] = {'\x5a', 'S', 'F', '1'};
constexpr size_t MarkSize = sizeof RecordMark;
constexpr size_t HeaderSize = MarkSize + sizeof(uint32_t) + sizeof(uint64_t);
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

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream in(Path, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Size of the valid record at \p Offset, or 0 when there is none.
size_t recordAt(std::string_view Bytes, size_t Offset,
                wire::DiskRecord &Record) {
  if (Offset > Bytes.size() || Bytes.size() - Offset < HeaderSize)
    return 0;
  const char *start = Bytes.data() + Offset;
  if (std::memcmp(start, RecordMark, MarkSize) != 0)
    return 0;
  uint32_t size = 0;
  uint64_t checksum = 0;
  std::memcpy(&size, start + MarkSize, sizeof size);
  std::memcpy(&checksum, start + MarkSize + sizeof size, sizeof checksum);
  if (size > Bytes.size() - Offset - HeaderSize)
    return 0;
  std::string_view payload = Bytes.substr(Offset + HeaderSize, size);
  if (checksumOf(payload) != checksum)
    return 0;
  if (!Record.ParseFromArray(payload.data(), static_cast<int>(size)))
    return 0;
  return HeaderSize + size;
}

/// True when a record after \p Offset was written once the bytes there were
/// synced: a loss of power cannot have torn them.
bool wasSynced(std::string_view Bytes, size_t Offset) {
  std::string_view mark(RecordMark, MarkSize);
  wire::DiskRecord record;
  for (size_t n = Bytes.find(mark, Offset); n != std::string_view::npos;
       n = Bytes.find(mark, n + 1))
    if (recordAt(Bytes, n, record) > 0 && record.synced_bytes() > Offset)
      return true;
  return false;
}

std::string frame(const std::string &Payload) {
  std::string out(RecordMark, MarkSize);
  auto size = static_cast<uint32_t>(Payload.size());
  uint64_t checksum = checksumOf(Payload);
  out.append(reinterpret_cast<const char *>(&size), sizeof size);
  out.append(reinterpret_cast<const char *>(&checksum), sizeof checksum);
  return out + Payload;
}

/// Takes one record into what was read so far; false when it cannot follow.
bool takeRecord(wire::DiskRecord &Record, DiskContent &Content) {
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
  LastProblem = {path(File), Reason};
  return false;
}

bool DiskLog::syncFolder() {
  int folder = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0)
    return fail("", std::strerror(errno));
  bool isSynced = ::fsync(folder) == 0;
  ::close(folder);
  return isSynced || fail("", std::strerror(errno));
}

bool DiskLog::writeFile(const std::string &Name, const std::string &Bytes) {
  std::string temporary = path(Name + ".new");
  int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0)
    return fail(Name, std::strerror(errno));
  bool isWritten = writeAll(file, Bytes) && ::fdatasync(file) == 0;
  ::close(file);
  if (!isWritten)
    return fail(Name, std::strerror(errno));
  if (::rename(temporary.c_str(), path(Name).c_str()) != 0)
    return fail(Name, std::strerror(errno));
  return syncFolder();
}

std::optional<uint64_t> DiskLog::readIdentity() {
  if (auto text = readFile(path(IdentityName))) {
    uint64_t identity = std::strtoull(text->c_str(), nullptr, 16);
    if (identity != 0)
      return identity;
    fail(IdentityName, "is damaged");
    return std::nullopt;
  }
  if (std::filesystem::exists(path(CurrentName))) {
    fail(IdentityName, "is missing beside a log");
    return std::nullopt;
  }
  uint64_t identity = drawIdentity();
  char buf[32];
  std::snprintf(buf, sizeof buf, "%016llx\n",
                static_cast<unsigned long long>(identity));
  if (!writeFile(IdentityName, buf))
    return std::nullopt;
  return identity;
}

bool DiskLog::readLog(const std::string &Bytes, DiskContent &Content,
                      uint64_t &GoodSize) {
  GoodSize = 0;
  wire::DiskRecord record;
  while (size_t n = recordAt(Bytes, GoodSize, record)) {
    if (!takeRecord(record, Content))
      return fail(logName(Generation),
                  "has a gap at byte " + std::to_string(GoodSize));
    GoodSize += n;
  }
  if (GoodSize < Bytes.size() && wasSynced(Bytes, GoodSize))
    return fail(logName(Generation),
                "is damaged at byte " + std::to_string(GoodSize));
  Content.TornBytes = Bytes.size() - GoodSize;
  return true;
}

bool DiskLog::openLog(uint64_t Size) {
  if (LogFile >= 0)
    ::close(LogFile);
  std::string name = logName(Generation);
  LogFile = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  if (LogFile < 0)
    return fail(name, std::strerror(errno));
  auto end = static_cast<off_t>(Size);
  if (::ftruncate(LogFile, end) != 0 || ::fdatasync(LogFile) != 0 ||
      ::lseek(LogFile, end, SEEK_SET) != end)
    return fail(name, std::strerror(errno));
  WrittenBytes = Size;
  SyncedBytes = Size;
  return true;
}

std::optional<DiskContent> DiskLog::open(DiskError &Problem) {
  DiskContent content;
  std::error_code ec;
  std::filesystem::create_directories(Folder, ec);
  LockFile = ::open(path(LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (LockFile < 0 || ::flock(LockFile, LOCK_EX | LOCK_NB) != 0) {
    fail(LockName, "another process holds the folder, or it is unusable");
    Problem = LastProblem;
    return std::nullopt;
  }
  auto identity = readIdentity();
  if (!identity) {
    Problem = LastProblem;
    return std::nullopt;
  }
  content.Identity = *identity;
  auto current = readFile(path(CurrentName));
  if (!current)
    return content;
  Generation = std::strtoull(current->c_str(), nullptr, 10);
  auto snapshot = readFile(path(snapshotName(Generation)));
  auto log = readFile(path(logName(Generation)));
  if (!snapshot || !log) {
    fail(CurrentName, "names files that are missing");
    Problem = LastProblem;
    return std::nullopt;
  }
  uint64_t checksum = 0;
  bool isWhole = snapshot->size() >= sizeof checksum;
  if (isWhole) {
    std::memcpy(&checksum, snapshot->data(), sizeof checksum);
    snapshot->erase(0, sizeof checksum);
    isWhole = checksumOf(*snapshot) == checksum &&
              content.Snapshot.ParseFromString(*snapshot);
  }
  uint64_t goodSize = 0;
  if (!isWhole)
    fail(snapshotName(Generation), "is damaged");
  if (!isWhole || !readLog(*log, content, goodSize) || !openLog(goodSize)) {
    Problem = LastProblem;
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
  return fail(logName(Generation), std::strerror(errno));
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
    return fail(logName(Generation), std::strerror(errno));
  SyncedBytes = WrittenBytes;
  // An empty record tells that all before it was synced; it need not last.
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
