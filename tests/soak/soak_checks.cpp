#include "tests/soak/soak_checks.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>

namespace sassafras {

namespace {

using std::chrono::seconds;

/// A fault explains what happens to requests sent within this time after it.
constexpr seconds ContactTime{3};
/// A connection that ends this soon after a request was sent crossed it.
constexpr Millis CrossingTime{200};
/// From the stop signal to the end of the process.
constexpr seconds StopGrace{8};
constexpr seconds StopTail{1};
/// A front may end a running request in the last sixth of its grace period if
/// the request was sent soon after the signal.
constexpr seconds EarlyInStop{3};
/// From a reload until its effects are over.
constexpr seconds ReloadTime{2};
/// Tolerance for a deadline as the front and the caller see it.
constexpr Millis DeadlineSlack{200};

struct StreamEvent {
  int64_t Id = 0;
  std::string Run;
};

using RunsById = std::multimap<std::string, const EngineRun *>;

RunsById indexById(const SoakRecords &Records) {
  RunsById out;
  for (const EngineRun &it : Records.Runs)
    out.emplace(it.Id, &it);
  return out;
}

bool hasFault(const SoakRecords &Records, const std::string &Target,
              TimePoint From, TimePoint To) {
  return std::any_of(
      Records.Faults.begin(), Records.Faults.end(), [&](const FaultSpan &it) {
        return it.Target == Target && it.From <= To && it.To >= From;
      });
}

bool hasFrontFault(const SoakRecords &Records, const CallerRecord &Request) {
  TimePoint from = Request.StartedAt - ContactTime;
  return hasFault(Records, "front-" + std::to_string(Request.Front), from,
                  Request.EndedAt) ||
         hasFault(Records, AllFronts, from, Request.EndedAt);
}

/// Returns whether the engine ended the run, or was at fault, before the caller
/// saw the end. An engine that starts over has broken its stream off.
bool isEndedByEngine(const SoakRecords &Records, const CallerRecord &Request,
                     const EngineRun &Run) {
  return Run.How == "broke" ||
         (Run.LastEvent >= 0 && Run.First != Run.LastEvent + 1) ||
         hasFault(Records, Run.Engine, Request.StartedAt - ContactTime,
                  Request.EndedAt);
}

/// The stop of the request's front in whose time the request ended.
const PlannedWork *findStop(const SoakRecords &Records,
                            const CallerRecord &Request) {
  for (const PlannedWork &it : Records.Works)
    if (it.Signal == SIGTERM && it.Front == Request.Front &&
        it.At <= Request.EndedAt &&
        Request.EndedAt <= it.At + StopGrace + StopTail)
      return &it;
  return nullptr;
}

bool isEndOfGrace(const PlannedWork &Stop, const CallerRecord &Request,
                  const EngineRun *Run) {
  bool isAtWork = Run && (Run->How.empty() || Run->How == "gone" ||
                          Run->EndedAt >= Request.EndedAt);
  return isAtWork && Request.EndedAt >= Stop.At + StopGrace * 5 / 6 &&
         Request.SentAt <= Stop.At + EarlyInStop;
}

bool isNearReload(const SoakRecords &Records, const CallerRecord &Request) {
  return std::any_of(
      Records.Works.begin(), Records.Works.end(), [&](const PlannedWork &it) {
        return it.Signal == SIGHUP && it.Front == Request.Front &&
               it.At <= Request.EndedAt &&
               Request.StartedAt <= it.At + ReloadTime;
      });
}

/// Splits a body at the ends of events. An event that is cut short is left out,
/// and \p Rest says so.
std::vector<StreamEvent> parseEvents(const std::string &Body,
                                     std::string &Rest) {
  std::vector<StreamEvent> out;
  size_t at = 0;
  for (size_t end = 0; (end = Body.find("\n\n", at)) != std::string::npos;
       at = end + 2) {
    std::istringstream in(Body.substr(at, end - at));
    std::string idKey;
    std::string dataKey;
    StreamEvent event;
    int64_t number = 0;
    in >> idKey >> event.Id >> dataKey >> event.Run >> number;
    if (idKey != "id:" || dataKey != "data:" || number != event.Id || !in)
      event.Run = "garbled event: " + Body.substr(at, end - at);
    out.push_back(event);
  }
  Rest = Body.substr(at);
  return out;
}

/// Service and version of the engine that made \p Run, which is named
/// SERVICE-INDEX-START/VERSION/BORN/NUMBER.
std::string originOf(const std::string &Run) {
  size_t version = Run.find('/');
  std::string out = Run.substr(0, Run.find('-'));
  if (version == std::string::npos)
    return out;
  return out + Run.substr(version, Run.find('/', version + 1) - version);
}

/// Returns why \p Event may not follow the events before it, or an empty text.
std::string checkEvent(const std::map<std::string, const EngineRun *> &Runs,
                       const StreamEvent &Event, const StreamEvent &Last,
                       const CallerRecord &Request) {
  std::string place = "event " + std::to_string(Event.Id) + " of " + Event.Run;
  auto found = Runs.find(Event.Run);
  if (found == Runs.end())
    return place + ", which no engine has made";
  const EngineRun &run = *found->second;
  if (run.Id != Request.Id)
    return place + ", a run of request " + run.Id;
  if (Event.Id != Last.Id + 1)
    return place + " after event " + std::to_string(Last.Id) + " of " +
           Last.Run;
  bool goesOn = run.First == Event.Id;
  if (Event.Run != Last.Run && !goesOn)
    return place + " joined to event " + std::to_string(Last.Id) + " of " +
           Last.Run + "; the run began at " + std::to_string(run.First) +
           " with Last-Event-Id " + std::to_string(run.LastEvent);
  return "";
}

} // namespace

const char *nameOf(CallerEnd End) {
  constexpr const char *Names[CallerEndCount] = {
      "whole",         "refused",           "error",     "broken",
      "closed_unsent", "closed_unanswered", "timed_out", "not_connected"};
  return Names[static_cast<int>(End)];
}

std::vector<EngineRun> readEngineJournal(const std::string &Path,
                                         const std::string &Engine) {
  std::vector<EngineRun> out;
  std::ifstream in(Path);
  std::string line;
  std::map<std::string, size_t> byRun;
  while (std::getline(in, line)) {
    std::istringstream words(line);
    std::string kind;
    int64_t at = 0;
    EngineRun run;
    words >> kind >> at;
    TimePoint time{Clock::duration(at)};
    if (kind == "received") {
      words >> run.Id >> run.Run >> run.LastEvent >> run.First;
      run.Engine = Engine;
      run.ReceivedAt = time;
      byRun[run.Run] = out.size();
      out.push_back(run);
      continue;
    }
    words >> run.Run >> run.How;
    auto found = byRun.find(run.Run);
    if (found == byRun.end())
      continue;
    out[found->second].EndedAt = time;
    out[found->second].How = run.How;
  }
  return out;
}

std::string describe(const CallerRecord &Request, const SoakRecords &Records) {
  auto since = [&](TimePoint At) {
    return At == TimePoint() ? std::string("-")
                             : std::to_string(toMillis(At - Records.Begin));
  };
  std::ostringstream out;
  out << Request.Id << " front-" << Request.Front << " " << Request.Target
      << (Request.IsReused ? " reused" : " new") << " started "
      << since(Request.StartedAt) << " sent " << since(Request.SentAt)
      << " ended " << since(Request.EndedAt) << " ms " << nameOf(Request.End)
      << " status " << Request.Status << " bytes " << Request.Body.size();
  if (Request.StreamId != Request.Id)
    out << " resumes " << Request.StreamId << " after " << Request.LastEvent;
  for (const EngineRun &it : Records.Runs)
    if (it.Id == Request.Id)
      out << "; run " << it.Run << " at " << it.Engine << " received "
          << since(it.ReceivedAt) << " first " << it.First << " ended "
          << since(it.EndedAt) << " " << (it.How.empty() ? "-" : it.How);
  return out.str();
}

std::vector<std::string> findLostRequests(const SoakRecords &Records) {
  RunsById runs = indexById(Records);
  std::vector<std::string> out;
  for (const CallerRecord &it : Records.Requests) {
    bool isCut =
        it.End == CallerEnd::Broken || it.End == CallerEnd::ClosedUnanswered;
    if (!isCut || hasFrontFault(Records, it) ||
        isPast(it.Deadline - DeadlineSlack, it.EndedAt))
      continue;
    auto [first, last] = runs.equal_range(it.Id);
    bool isExplained = false;
    const EngineRun *latest = nullptr;
    for (auto run = first; run != last; ++run) {
      isExplained = isExplained || isEndedByEngine(Records, it, *run->second);
      latest = run->second;
    }
    if (isExplained || (!latest && it.EndedAt - it.SentAt <= CrossingTime))
      continue;
    const PlannedWork *stop = findStop(Records, it);
    if (stop && isEndOfGrace(*stop, it, latest))
      continue;
    std::string when = "without planned work";
    if (stop)
      when = "in a stop begun at " +
             std::to_string(toMillis(stop->At - Records.Begin)) + " ms";
    else if (isNearReload(Records, it))
      when = "around a reload";
    out.push_back("lost " + when + ": " + describe(it, Records));
  }
  return out;
}

std::vector<std::string> findDisorder(const SoakRecords &Records) {
  std::map<std::string, const EngineRun *> runs;
  for (const EngineRun &it : Records.Runs)
    runs[it.Run] = &it;
  std::vector<std::string> out;
  for (const CallerRecord &it : Records.Requests) {
    if (!it.IsStream || it.Status != 200)
      continue;
    std::string rest;
    bool isOrdered = true;
    StreamEvent last{std::max<int64_t>(it.LastEvent, 0), ""};
    for (const StreamEvent &event : parseEvents(it.Body, rest)) {
      std::string problem = checkEvent(runs, event, last, it);
      if (!problem.empty()) {
        out.push_back("disorder: " + problem + ": " + describe(it, Records));
        isOrdered = false;
        break;
      }
      last = event;
    }
    if (isOrdered && it.End == CallerEnd::Whole &&
        (last.Id != it.EventCount || !rest.empty()))
      out.push_back("disorder: ends as complete after event " +
                    std::to_string(last.Id) + " of " +
                    std::to_string(it.EventCount) + ": " +
                    describe(it, Records));
  }
  return out;
}

std::vector<std::string> findJoinedVersions(const SoakRecords &Records) {
  struct Part {
    std::string Origin;
    std::string Run;
    const CallerRecord *Request = nullptr;
  };
  std::map<std::string, Part> firstParts;
  std::set<std::string> joined;
  std::vector<std::string> out;
  for (const CallerRecord &it : Records.Requests) {
    if (!it.IsStream || it.Status != 200)
      continue;
    // Without Last-Event-Id the stream begins anew.
    if (it.LastEvent < 0)
      firstParts.erase(it.StreamId);
    std::string rest;
    for (const StreamEvent &event : parseEvents(it.Body, rest)) {
      Part part{originOf(event.Run), event.Run, &it};
      const Part &first = firstParts.emplace(it.StreamId, part).first->second;
      if (first.Origin == part.Origin || !joined.insert(it.StreamId).second)
        continue;
      out.push_back("joined versions: event " + std::to_string(event.Id) +
                    " of " + event.Run + " in a stream of " + first.Run + ": " +
                    describe(it, Records) + "; begun by " +
                    describe(*first.Request, Records));
    }
  }
  return out;
}

std::map<std::string, uint64_t> countResumptions(const SoakRecords &Records) {
  std::map<std::string, uint64_t> out;
  for (const CallerRecord &it : Records.Requests) {
    if (it.LastEvent < 0 || it.End == CallerEnd::NotConnected)
      continue;
    ++out["resumed"];
    if (it.End != CallerEnd::Refused)
      continue;
    ++out["resumed_refused"];
    for (const char *reason : {"stream_version_unknown", "stream_version_gone"})
      if (it.Body.find(reason) != std::string::npos)
        ++out[reason];
  }
  return out;
}

std::vector<std::string> findUntrueResponses(const SoakRecords &Records) {
  RunsById runs = indexById(Records);
  std::vector<std::string> out;
  for (const CallerRecord &it : Records.Requests) {
    size_t n = runs.count(it.Id);
    std::string problem;
    if (it.Status == 200 && (it.ResponseId != it.Id || it.Seal != "seal"))
      problem = "response of another request or without seal";
    else if (it.End == CallerEnd::Whole && n == 0)
      problem = "status 200 but reached no engine";
    else if (it.End == CallerEnd::Whole && !it.IsStream &&
             runs.find(it.Id)->second->Run != it.Body && !it.MayRepeat)
      problem = "body is not its engine's";
    else if (!it.MayRepeat && n > 1)
      problem = "reached engines " + std::to_string(n) + " times";
    else if (!it.MayRepeat && it.End == CallerEnd::Refused && n > 0)
      problem = "was refused as not run but reached an engine";
    if (!problem.empty())
      out.push_back(problem + ": " + describe(it, Records));
  }
  return out;
}

} // namespace sassafras
