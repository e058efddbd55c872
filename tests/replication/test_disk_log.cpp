/// \file
/// Tests of a member's data folder: which records are durable, how torn and
/// damaged files are handled, and that one process at a time uses the folder.
#include "replication/disk_log.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace sassafras;
namespace files = std::filesystem;

namespace {

/// A temporary folder that is deleted at the end of the test.
struct TestFolder {
  TestFolder() {
    std::string pattern =
        (files::temp_directory_path() / "sassafras-disk-XXXXXX").string();
    Path = mkdtemp(pattern.data());
  }
  ~TestFolder() { files::remove_all(Path); }
  std::string Path;
};

wire::DiskRecord entryRecord(uint64_t Index, uint64_t Term) {
  wire::DiskRecord record;
  record.mutable_entry()->set_index(Index);
  record.mutable_entry()->set_term(Term);
  record.mutable_entry()->mutable_command()->set_operation_id(
      "operation " + std::to_string(Index));
  return record;
}

wire::DiskRecord stateRecord(uint64_t Term, uint64_t VotedFor) {
  wire::DiskRecord record;
  record.mutable_hard_state()->set_term(Term);
  record.mutable_hard_state()->set_voted_for(VotedFor);
  return record;
}

wire::Snapshot firstSnapshot() {
  wire::Snapshot snapshot;
  snapshot.set_index(1);
  snapshot.set_term(1);
  return snapshot;
}

/// Writes a generation whose snapshot ends at index 1 and whose log holds the
/// entries 2 to \p Last, all synced.
void writeLog(const std::string &Folder, uint64_t Last) {
  DiskLog disk(Folder);
  DiskError problem;
  REQUIRE(disk.open(problem));
  REQUIRE(disk.replace(firstSnapshot(), {}, {}));
  REQUIRE(disk.append(stateRecord(3, 77)));
  for (uint64_t i = 2; i <= Last; ++i)
    REQUIRE(disk.append(entryRecord(i, 3)));
  REQUIRE(disk.sync());
}

std::string readBytes(const std::string &Path) {
  std::ifstream in(Path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void writeBytes(const std::string &Path, const std::string &Bytes) {
  std::ofstream(Path, std::ios::binary | std::ios::trunc) << Bytes;
}

} // namespace

TEST_CASE("disk log returns what was synced") {
  TestFolder folder;
  writeLog(folder.Path, 9);
  DiskLog disk(folder.Path);
  DiskError problem;
  auto content = disk.open(problem);
  REQUIRE(content);
  CHECK_FALSE(content->IsBlank);
  CHECK(content->HardState.term() == 3);
  CHECK(content->HardState.voted_for() == 77);
  REQUIRE(content->Entries.size() == 8);
  CHECK(content->Entries.back().index() == 9);
  CHECK(content->TornBytes == 0);
}

TEST_CASE("disk log keeps its identity, and a new folder gets a new identity") {
  TestFolder folder;
  DiskError problem;
  uint64_t first = DiskLog(folder.Path).open(problem)->Identity;
  CHECK(DiskLog(folder.Path).open(problem)->Identity == first);
  files::remove_all(folder.Path);
  auto content = DiskLog(folder.Path).open(problem);
  CHECK(content->IsBlank);
  CHECK(content->Identity != first);
}

TEST_CASE("disk log drops the entries after one that replaces an index") {
  TestFolder folder;
  writeLog(folder.Path, 9);
  DiskError problem;
  {
    DiskLog disk(folder.Path);
    REQUIRE(disk.open(problem));
    REQUIRE(disk.append(entryRecord(5, 4)));
    REQUIRE(disk.sync());
  }
  auto content = DiskLog(folder.Path).open(problem);
  REQUIRE(content->Entries.size() == 4);
  CHECK(content->Entries.back().term() == 4);
}

TEST_CASE("disk log truncates an end that is torn at any byte") {
  TestFolder folder;
  writeLog(folder.Path, 4);
  std::string path = folder.Path + "/log-1";
  std::string whole = readBytes(path);
  size_t last = encodeRecord(entryRecord(4, 3)).size();
  // The last entry is followed by the empty record that marks its sync.
  size_t entryEnd = whole.size();
  for (size_t cut = 1; cut < whole.size() - last; ++cut) {
    writeBytes(path, whole.substr(0, whole.size() - cut));
    DiskError problem;
    auto content = DiskLog(folder.Path).open(problem);
    INFO("cut " << cut << " " << problem.Reason);
    REQUIRE(content);
    if (content->Entries.size() == 3) {
      entryEnd = whole.size() - cut;
      continue;
    }
    break;
  }
  REQUIRE(entryEnd < whole.size());
  for (size_t cut = 1; cut < last; ++cut) {
    writeBytes(path, whole.substr(0, entryEnd - cut));
    DiskLog disk(folder.Path);
    DiskError problem;
    auto content = disk.open(problem);
    INFO("cut " << cut << " " << problem.Reason);
    REQUIRE(content);
    CHECK(content->Entries.size() == 2);
    // The next record must overwrite the torn bytes, not follow them.
    REQUIRE(disk.append(entryRecord(4, 5)));
    REQUIRE(disk.sync());
    std::string rewritten = readBytes(path);
    CHECK(rewritten.substr(0, entryEnd - last) ==
          whole.substr(0, entryEnd - last));
    CHECK(rewritten.find(encodeRecord(entryRecord(4, 3))) == std::string::npos);
  }
}

// A power loss may keep a later write and lose an earlier one if neither was
// synced.
TEST_CASE("disk log truncates at a hole in records that were never synced") {
  TestFolder folder;
  writeLog(folder.Path, 4);
  std::string path = folder.Path + "/log-1";
  size_t synced = readBytes(path).size();
  {
    DiskLog disk(folder.Path);
    DiskError problem;
    REQUIRE(disk.open(problem));
    REQUIRE(disk.append(entryRecord(5, 3)));
    REQUIRE(disk.append(entryRecord(6, 3)));
  }
  std::string holed = readBytes(path);
  REQUIRE(holed.size() > synced + 8);
  holed.replace(synced, 8, 8, '\0');
  writeBytes(path, holed);
  DiskError problem;
  auto content = DiskLog(folder.Path).open(problem);
  INFO(problem.Reason);
  REQUIRE(content);
  CHECK(content->Entries.size() == 3);
  CHECK(content->TornBytes > 0);
}

TEST_CASE("disk log refuses to open a log with damage in synced records") {
  struct Damage {
    const char *Description;
    size_t Offset;
  };
  TestFolder folder;
  writeLog(folder.Path, 9);
  std::string path = folder.Path + "/log-1";
  std::string whole = readBytes(path);
  const Damage cases[] = {
      {"magic number of the first record", 0},
      {"length of the first record", 5},
      {"checksum", 10},
      {"payload in the middle", whole.size() / 2},
  };
  for (const Damage &it : cases) {
    INFO(it.Description);
    std::string damaged = whole;
    damaged[it.Offset] = static_cast<char>(damaged[it.Offset] ^ 0x40);
    writeBytes(path, damaged);
    DiskError problem;
    CHECK_FALSE(DiskLog(folder.Path).open(problem));
    CHECK(problem.Reason.find("damaged") != std::string::npos);
    CHECK(readBytes(path) == damaged);
  }
}

TEST_CASE("disk log refuses to open a folder with missing or damaged files") {
  struct Loss {
    const char *File;
    bool IsRemoved;
  };
  const Loss cases[] = {{"snapshot-1", true},
                        {"snapshot-1", false},
                        {"log-1", true},
                        {"identity", true},
                        {"identity", false}};
  for (const Loss &it : cases) {
    INFO(it.File << (it.IsRemoved ? " removed" : " damaged"));
    TestFolder folder;
    writeLog(folder.Path, 3);
    std::string path = folder.Path + "/" + it.File;
    if (it.IsRemoved)
      files::remove(path);
    else
      writeBytes(path, "zzzzzzzzzzzzzzzzzzzz");
    DiskError problem;
    CHECK_FALSE(DiskLog(folder.Path).open(problem));
    CHECK_FALSE(problem.Reason.empty());
  }
}

// The member forgot its vote and its log, or took an identity anew.
TEST_CASE("disk log takes no file that it cannot read for a missing one") {
  for (const char *name : {"CURRENT", "identity", "snapshot-1", "log-1"}) {
    INFO(name);
    TestFolder folder;
    writeLog(folder.Path, 3);
    std::string path = folder.Path + "/" + name;
    files::rename(path, path + ".aside");
    // Opening a link to itself fails, as opening a file without descriptors
    // left does.
    files::create_symlink(path, path);
    DiskError problem;
    CHECK_FALSE(DiskLog(folder.Path).open(problem));
    CHECK(problem.IsTemporary);
    files::remove(path);
    files::rename(path + ".aside", path);
    auto content = DiskLog(folder.Path).open(problem);
    REQUIRE(content);
    CHECK(content->HardState.voted_for() == 77);
  }
}

TEST_CASE("disk log takes no part of a file for the whole") {
  TestFolder folder;
  writeLog(folder.Path, 3);
  std::string path = folder.Path + "/CURRENT";
  files::remove(path);
  // Opens, but cannot be read.
  files::create_directory(path);
  DiskError problem;
  CHECK_FALSE(DiskLog(folder.Path).open(problem));
  CHECK(problem.IsTemporary);
}

TEST_CASE("disk log survives a crash between the files of a new generation") {
  TestFolder folder;
  writeLog(folder.Path, 9);
  // A generation that CURRENT does not name yet is ignored.
  writeBytes(folder.Path + "/snapshot-2", "half");
  writeBytes(folder.Path + "/log-2.new", "half");
  DiskError problem;
  auto content = DiskLog(folder.Path).open(problem);
  REQUIRE(content);
  CHECK(content->Entries.size() == 8);
}

TEST_CASE("disk log replaces snapshot and log by a new generation") {
  TestFolder folder;
  writeLog(folder.Path, 9);
  DiskError problem;
  {
    DiskLog disk(folder.Path);
    auto content = disk.open(problem);
    wire::Snapshot snapshot = firstSnapshot();
    snapshot.set_index(7);
    REQUIRE(disk.replace(snapshot, content->HardState,
                         {content->Entries[6], content->Entries[7]}));
    REQUIRE(disk.append(entryRecord(10, 3)));
    REQUIRE(disk.sync());
  }
  auto content = DiskLog(folder.Path).open(problem);
  REQUIRE(content);
  CHECK(content->Snapshot.index() == 7);
  CHECK(content->HardState.voted_for() == 77);
  REQUIRE(content->Entries.size() == 3);
  CHECK(content->Entries.back().index() == 10);
  CHECK_FALSE(files::exists(folder.Path + "/log-1"));
}

TEST_CASE("disk log locks the folder against a second process") {
  TestFolder folder;
  DiskError problem;
  DiskLog first(folder.Path);
  REQUIRE(first.open(problem));
  CHECK_FALSE(DiskLog(folder.Path).open(problem));
  CHECK(problem.Reason.find("another process") != std::string::npos);
}
