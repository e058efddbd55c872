#include "front/stream_end.h"

#include "front/process_proof.h"

namespace sassafras {

namespace {

/// A process that starts again in place of a killed one listens after more than
/// this time.
constexpr Millis ShortestRestart{25};

/// Start of the process that is known to run under the endpoint's id; 0 if it
/// is not known.
uint64_t currentBorn(const FrontState &State, const KnownEndpoint &Endpoint) {
  if (!hasNewerProcess(State.Directory, Endpoint))
    return Endpoint.BornMs;
  return State.Directory.AgentReports.at(Endpoint.Address).BornMs;
}

/// True if both starts are known and differ.
bool areOthers(uint64_t BornMs, uint64_t OtherBornMs) {
  return BornMs != 0 && OtherBornMs != 0 && BornMs != OtherBornMs;
}

/// True if whoever accepted the connection was listening when the stream ended.
bool wasAcceptedAtOnce(const StreamEnd &End,
                       const StreamEndEvidence &Evidence) {
  return End.EndedAt != TimePoint() && Evidence.AcceptedAt != TimePoint() &&
         Evidence.AcceptedAt - End.EndedAt < ShortestRestart;
}

} // namespace

std::string_view nameOf(StreamEndSign Sign) {
  switch (Sign) {
  case StreamEndSign::Pending:
    return "none";
  case StreamEndSign::Answered:
    return "answered";
  case StreamEndSign::Accepted:
    return "accepted";
  case StreamEndSign::OlderConnection:
    return "older_connection";
  case StreamEndSign::Announced:
    return "announced";
  case StreamEndSign::Refused:
    return "refused";
  case StreamEndSign::OtherInstance:
    return "other_instance";
  case StreamEndSign::OtherProcess:
    return "other_process";
  }
  return "";
}

bool isLifeSign(StreamEndSign Sign) {
  return Sign == StreamEndSign::Answered || Sign == StreamEndSign::Accepted ||
         Sign == StreamEndSign::OlderConnection ||
         Sign == StreamEndSign::Announced;
}

StreamEnd makeStreamEnd(const FrontState &State, const std::string &Endpoint,
                        uint64_t BornMs, TimePoint EndedAt, TimePoint Now) {
  StreamEnd out;
  out.Endpoint = Endpoint;
  out.BornMs = BornMs;
  out.EndedAt = EndedAt;
  out.ReadAt = Now;
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return out;
  out.EndBornMs = currentBorn(State, known->second);
  out.EndSequence = known->second.Sequence;
  return out;
}

StreamEndSign judgeStreamEnd(const FrontState &State, const StreamEnd &End,
                             const StreamEndEvidence &Evidence, TimePoint Now) {
  if (Evidence.Reply == InstanceReply::Refused)
    return StreamEndSign::Refused;
  if (Evidence.Reply == InstanceReply::Other ||
      Evidence.Reply == InstanceReply::Invalid)
    return StreamEndSign::OtherInstance;
  auto known = State.Directory.Endpoints.find(End.Endpoint);
  bool isKnown = known != State.Directory.Endpoints.end();
  if (isKnown && areOthers(currentBorn(State, known->second), End.EndBornMs))
    return StreamEndSign::OtherProcess;
  bool isAtOnce = wasAcceptedAtOnce(End, Evidence);
  // Processes that don't state their start have an id of their own.
  if (Evidence.Reply == InstanceReply::Instance &&
      (isAtOnce || End.BornMs == 0))
    return StreamEndSign::Answered;
  if (!isPast(End.ReadAt + LastBytesTime, Now))
    return StreamEndSign::Pending;
  if (Evidence.HasOlderConnection)
    return StreamEndSign::OlderConnection;
  if (isAtOnce && !Evidence.Reply &&
      isPast(Evidence.AcceptedAt + LastBytesTime, Now))
    return StreamEndSign::Accepted;
  // Another process was announced before the end was read.
  if (areOthers(End.BornMs, End.EndBornMs))
    return StreamEndSign::OtherProcess;
  if (isKnown && known->second.Sequence > End.EndSequence &&
      isPast(End.ReadAt + AnnouncementAge, known->second.HeardAt))
    return StreamEndSign::Announced;
  return StreamEndSign::Pending;
}

} // namespace sassafras
