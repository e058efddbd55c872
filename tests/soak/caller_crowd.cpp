#include "tests/soak/caller_crowd.h"

#include "tests/soak/soak_caller.h"

#include <random>

namespace sassafras {

namespace {

constexpr Millis StreamDeadline{10'000};
constexpr Millis PlainDeadline{4'000};
constexpr int MaxRequestsPerConnection = 40;
constexpr int MaxResumptions = 4;
constexpr Millis ReconnectDelay{50};

/// One caller with its own connection and random numbers.
class RandomCaller {
public:
  RandomCaller(std::string Name, const FrontFleet &Fleet, uint64_t Seed)
      : Name(std::move(Name)), Fleet(Fleet), Random(Seed) {}

  /// Opens a connection to a random front; returns false if there is none.
  bool connect() {
    Front = 1 + below(Fleet.frontCount());
    RequestsLeft = below(3) == 0 ? 1 : 1 + below(MaxRequestsPerConnection);
    RequestsDone = 0;
    return Caller.connect(Fleet.callerAddress(Front));
  }

  bool mayUseConnection() { return RequestsLeft > 0 && Caller.isOpen(); }

  /// Sends one request on the connection.
  CallerRecord send(CallerRecord Record) {
    CallerManner manner;
    if (below(12) == 0)
      manner.PauseBeforeBody = Millis(below(1'200));
    if (below(10) == 0)
      manner.PauseBetweenReads = Millis(below(60));
    Record.Id = Name + "-" + std::to_string(Count++);
    if (Record.StreamId.empty())
      Record.StreamId = Record.Id;
    Record.Front = Front;
    Record.IsReused = RequestsDone++ > 0;
    Record.Deadline =
        Clock::now() + (Record.IsStream ? StreamDeadline : PlainDeadline);
    --RequestsLeft;
    Caller.send(Record, manner);
    return Record;
  }

  CallerRecord makeRequest() {
    CallerRecord out;
    int kind = below(10);
    if (kind < 4) {
      out.MayRepeat = kind < 2;
      out.Target = std::string(kind < 2 ? "/i/" : "/o/") +
                   "x?form=plain&wait=" + text(below(3) ? below(60) : 900);
    } else {
      out.IsStream = true;
      out.MayRepeat = kind < 8;
      bool isLong = below(5) == 0;
      out.EventCount = isLong ? 20 + below(40) : 1 + below(20);
      out.Target = std::string(kind < 8 ? "/r/" : "/k/") +
                   "x?n=" + text(static_cast<int>(out.EventCount)) +
                   "&gap=" + text(isLong ? 100 : below(40)) +
                   "&form=" + (below(6) == 0 ? "unframed" : "chunked");
      if (below(12) == 0)
        out.Target += "&cut=" + text(1 + below(10));
      else if (below(12) == 0)
        out.Target += "&tear=" + text(1 + below(10));
      if (below(4) == 0)
        out.Target += "&forget=1";
    }
    if (below(12) == 0)
      out.Target += "&leave=" + text(below(3) * below(40));
    return out;
  }

  /// The request that resumes the stream of \p Broken.
  static CallerRecord resumptionOf(const CallerRecord &Broken) {
    CallerRecord out;
    out.Target = Broken.Target;
    out.IsStream = true;
    out.MayRepeat = true;
    out.EventCount = Broken.EventCount;
    out.LastEvent = lastEventOf(Broken);
    // A stream is named by the request that brought its first event.
    if (out.LastEvent >= 0)
      out.StreamId = Broken.StreamId;
    return out;
  }

  /// Mostly short, at times four fifths of the idle timeout.
  Millis idleTime() {
    return Millis(below(8) == 0
                      ? below(static_cast<int>(SoakIdleTimeout.count() * 4 / 5))
                      : below(40));
  }

private:
  int below(int End) {
    return static_cast<int>(Random() % static_cast<uint64_t>(End));
  }
  static std::string text(int Number) { return std::to_string(Number); }

  /// Id of the last complete event that the caller has, or -1.
  static int64_t lastEventOf(const CallerRecord &Record) {
    size_t end = Record.Body.rfind("\n\n");
    size_t at = end == std::string::npos ? end : Record.Body.rfind("id: ", end);
    return at == std::string::npos ? Record.LastEvent
                                   : std::atoll(Record.Body.c_str() + at + 4);
  }

  std::string Name;
  const FrontFleet &Fleet;
  std::mt19937_64 Random;
  SoakCaller Caller;
  int Front = 0;
  int RequestsLeft = 0;
  int RequestsDone = 0;
  int Count = 0;
};

bool isResumable(const CallerRecord &Record) {
  bool hasFailed = Record.End == CallerEnd::Broken ||
                   Record.End == CallerEnd::ClosedUnanswered ||
                   Record.End == CallerEnd::Refused;
  return Record.IsStream && Record.MayRepeat && hasFailed;
}

} // namespace

CallerCrowd::CallerCrowd(const FrontFleet &Fleet, int Count, uint64_t Seed)
    : Fleet(Fleet) {
  for (int i = 0; i < Count; ++i)
    Threads.emplace_back(
        [this, i, Seed] { run(i, Seed * 1'000 + static_cast<uint64_t>(i)); });
}

CallerCrowd::~CallerCrowd() { stop(); }

std::vector<CallerRecord> CallerCrowd::stop() {
  IsStopped = true;
  for (std::thread &it : Threads)
    it.join();
  Threads.clear();
  std::lock_guard guard(Mutex);
  return Records;
}

void CallerCrowd::keep(CallerRecord Record) {
  std::lock_guard guard(Mutex);
  Records.push_back(std::move(Record));
}

void CallerCrowd::run(int Caller, uint64_t Seed) {
  RandomCaller caller("k" + std::to_string(Caller), Fleet, Seed);
  CallerRecord next = caller.makeRequest();
  int resumptions = 0;
  while (!IsStopped) {
    if (!caller.mayUseConnection() && !caller.connect()) {
      keep(next);
      std::this_thread::sleep_for(ReconnectDelay);
      continue;
    }
    CallerRecord done = caller.send(next);
    keep(done);
    bool resumes = isResumable(done) && resumptions++ < MaxResumptions;
    if (!resumes)
      resumptions = 0;
    next = resumes ? RandomCaller::resumptionOf(done) : caller.makeRequest();
    std::this_thread::sleep_for(caller.idleTime());
  }
}

} // namespace sassafras
