/// \file
/// Tests of the end of a serving group whose disk is slow.
#include "control/serving_group.h"

#include "core/metrics.h"
#include "wire/link.h"

#include <caf/all.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace sassafras;

namespace files = std::filesystem;

namespace {

/// A data folder whose identity is a pipe: a member that opens the folder
/// waits until release is called.
class HangingFolder {
public:
  HangingFolder() {
    std::string pattern =
        (files::temp_directory_path() / "sassafras-group-XXXXXX").string();
    Folder = mkdtemp(pattern.data());
    ::mkfifo(identityPath().c_str(), 0600);
  }
  ~HangingFolder() { files::remove_all(Folder); }
  HangingFolder(const HangingFolder &) = delete;
  HangingFolder &operator=(const HangingFolder &) = delete;

  const std::string &folder() const { return Folder; }
  /// Returns once a member reads the identity.
  void waitForReader() {
    while ((Pipe = ::open(identityPath().c_str(), O_WRONLY | O_NONBLOCK)) < 0)
      std::this_thread::sleep_for(Millis(5));
  }
  void release() {
    const std::string identity = "1\n";
    CHECK(::write(Pipe, identity.data(), identity.size()) ==
          static_cast<ssize_t>(identity.size()));
    ::close(Pipe);
  }

private:
  std::string identityPath() const { return Folder + "/identity"; }

  std::string Folder;
  int Pipe = -1;
};

} // namespace

// A handler that the disk held up went on after the group and the link that it
// sends through had been destroyed.
TEST_CASE("group is destroyed only after its running handler has returned") {
  HangingFolder disk;
  Metrics counts;
  boost::asio::io_context io;
  caf::actor_system_config config;
  caf::actor_system system(config);
  Link link(io, {"test", "node", 1, "127.0.0.1:0"}, counts,
            [](const wire::Envelope &) {});
  StartProblem problem;
  REQUIRE(link.start(problem));
  ServingGroupCallbacks callbacks;
  callbacks.OnPublish = [](const StorePublish &) {};
  callbacks.OnResult = [](const StoreResult &) {};
  callbacks.OnView = [](const StoreView &) {};
  ServingGroupOptions options;
  options.Node = "node";
  options.DataFolder = disk.folder();
  auto group = std::make_unique<ServingGroup>(io, system, link, counts, options,
                                              callbacks);
  group->start();
  disk.waitForReader();
  std::atomic<bool> isReleased{false};
  std::thread releaser([&] {
    std::this_thread::sleep_for(Millis(300));
    isReleased = true;
    disk.release();
  });
  group.reset();
  CHECK(isReleased);
  releaser.join();
}
