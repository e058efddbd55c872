#include "main/start_settings.h"

#include "core/logging.h"
#include "core/time.h"

#include <algorithm>
#include <filesystem>
#include <thread>

namespace sassafras {

namespace {

namespace files = std::filesystem;

constexpr Millis ReadInterval{25};
/// Valid content that is younger may be the first part of what is being
/// written, without settings that have a default.
constexpr Millis ValidRestTime{100};
/// The same for invalid content.
constexpr Millis InvalidRestTime{1'000};
/// Limit of the wait for a file with content at rest.
constexpr std::chrono::seconds AwaitTimeout{10};

/// Time since the file was modified; the maximum when that is not known and for
/// anything but a regular file.
Clock::duration ageOf(const std::string &File) {
  std::error_code ec;
  if (!files::is_regular_file(File, ec))
    return Clock::duration::max();
  auto modified = files::last_write_time(File, ec);
  if (ec)
    return Clock::duration::max();
  auto age = files::file_time_type::clock::now() - modified;
  return std::max(std::chrono::duration_cast<Clock::duration>(age),
                  Clock::duration::zero());
}

bool isBlank(const std::string &Text) {
  return Text.find_first_not_of(" \t\r\n") == std::string::npos;
}

} // namespace

std::optional<StartSettings>
awaitSettings(const std::string &File, const std::function<bool()> &IsStopped,
              SettingsProblem &Problem) {
  TimePoint startedAt = Clock::now();
  TimePoint deadline = startedAt + AwaitTimeout;
  std::optional<std::string> lastText;
  TimePoint changedAt = startedAt;
  std::string lastReason;
  for (;;) {
    // Before the content, so that a change in between makes it younger.
    Clock::duration age = ageOf(File);
    auto text = readTextFile(File);
    TimePoint now = Clock::now();
    if (text != lastText)
      changedAt = now;
    lastText = text;
    Clock::duration restTime = std::max(age, now - changedAt);
    Problem = {};
    Problem.File = File;
    std::optional<Settings> settings;
    if (!text)
      Problem.Reason = "cannot be read";
    else if (isBlank(*text))
      Problem.Reason = "is empty";
    else
      settings = parseSettings(*text, File, Problem);
    bool isLast = isPast(deadline, now);
    if (settings && (restTime >= ValidRestTime || isLast)) {
      if (!lastReason.empty())
        logEvent(LogLevel::Info, "settings_found",
                 {{"file", File},
                  {"waited_ms", std::to_string(toMillis(now - startedAt))}});
      return StartSettings{std::move(*settings), std::move(*text)};
    }
    bool hasContent = text && !isBlank(*text);
    if (!settings && (isLast || (hasContent && restTime >= InvalidRestTime)))
      return std::nullopt;
    if (!settings && Problem.Reason != lastReason) {
      lastReason = Problem.Reason;
      logEvent(LogLevel::Warning, "settings_awaited",
               {{"reason", describe(Problem)}});
    }
    std::this_thread::sleep_for(ReadInterval);
    if (IsStopped()) {
      Problem = {};
      return std::nullopt;
    }
  }
}

} // namespace sassafras
