/// \file
/// Gossip by which fronts synchronise their views of the fleet: nodes,
/// endpoints, the table version and demand. Any message may be lost; later
/// ones bring the receiver up to date.
///
/// Load pattern: 70 fronts in six zones, most of them small, with 120 engines.
/// Heartbeats go to the fronts of the own zone; the relays of a zone
/// (fleet/zone_relays.h) exchange summaries, and changes of endpoints are sent
/// through relays at once. Only the leader sends heartbeats to all.
#ifndef SASSAFRAS_FRONT_FLEET_VIEW_H
#define SASSAFRAS_FRONT_FLEET_VIEW_H

#include "front/front_state.h"

#include <string>
#include <vector>

namespace sassafras {

/// Interval of heartbeats that report demand to the leader, and of heartbeats
/// to all fronts while there are few of them.
inline constexpr Millis HeartbeatPeriod{300};
/// Heartbeat interval of a front that has no serving table yet. It is short
/// because the first messages may be sent before any peer is listening.
inline constexpr Millis StartupHeartbeatPeriod{100};
/// With up to this many fronts, every front broadcasts at the full rate, which
/// costs no more than the rest of its heartbeat traffic.
inline constexpr size_t MaxFrontsAtFullRate = 10;
/// Upper bound of the interval between broadcast heartbeats. Three in a row
/// must be lost before a front counts as out of view (NodeTimeout).
inline constexpr Millis MaxBroadcastPeriod{800};
/// Minimum interval between two full updates on the same subject that are sent
/// to, or requested from, the same node.
inline constexpr Millis ResyncPeriod{700};

/// Interval of the summaries that each relay of a zone sends to the other
/// zones.
inline constexpr Millis SummaryPeriod{500};
/// A running endpoint is included in a summary once in this time. It is a
/// fraction of EndpointTimeout, so that two summaries may be lost.
inline constexpr Millis SummaryRefreshPeriod{2'000};

struct NodeMessage {
  std::string Address;
  wire::Envelope Message;
};
using NodeMessages = std::vector<NodeMessage>;

/// State of the gossip protocol that is not part of FrontState.
struct GossipState {
  std::vector<std::string> Seeds; ///< Link addresses.
  /// Observations to pass on with the next broadcast heartbeat.
  std::vector<wire::EndpointObservation> PendingObservations;
  std::map<std::string, TimePoint> NextResync; ///< By address and subject.
  /// Processes that a heartbeat was received from, by node.
  std::map<std::string, uint64_t> HeardIncarnations;
  /// Digest of the models last sent for each endpoint.
  std::map<std::string, uint64_t> SentModelDigests;
  TimePoint NextBroadcast;
  /// Latest observations made in the own zone, for the next summary, by id.
  std::map<std::string, wire::EndpointObservation> ZoneObservations;
  /// When each endpoint is due in a summary again.
  std::map<std::string, TimePoint> NextInSummary;
  TimePoint NextSummary;
};

/// Demand of all fronts as known to the leader.
struct FleetDemand {
  struct FrontReport {
    TimePoint HeardAt;
    /// The rate shares in force there.
    uint64_t SharesTerm = 0;
    uint64_t SharesNumber = 0;
    /// The front has not used its part of the rates itself since then.
    TimePoint PartUnusedSince;
    std::map<std::string, double> Organisations; ///< Tokens per second.
    std::map<std::string, wire::RowDemand> Rows; ///< By model.
  };
  std::map<std::string, FrontReport> Fronts; ///< By node name.
  std::map<std::string, ArrivalRates> Rates; ///< By model.
};

/// Appends \p Message for all other fronts: directly, or with relays directly
/// within the own zone, and as \p Relayed to the relays of the other zones that
/// pass on messages on \p Key.
void broadcast(const FrontState &State, const wire::Envelope &Message,
               const wire::Envelope &Relayed, const std::string &Key,
               TimePoint Now, NodeMessages &Out);
/// Appends \p Message for the other fronts of the own zone.
void sendWithinZone(const FrontState &State, const wire::Envelope &Message,
                    TimePoint Now, NodeMessages &Out);
/// Interval of messages to all of \p Fronts. It is stretched with the number of
/// fronts, so that the total number of messages grows linearly with it and not
/// quadratically; bounded by MaxBroadcastPeriod.
Millis broadcastPeriod(Millis Period, size_t Fronts);
/// Appends a heartbeat with demand to the leader and, when a broadcast is due,
/// heartbeats to all other fronts, or to those of the own zone when the fleet
/// uses relays and this front does not lead. Seeds out of view are included.
void sendHeartbeats(FrontState &State, GossipState &Gossip, bool IsLeader,
                    uint64_t Term, TimePoint Now, NodeMessages &Out);
/// Handles a heartbeat of another front or of an agent. Records the demand in
/// it in \p Demand, which only the leader uses, and appends the messages that
/// resolve differences between the two views.
void handleNodeHeartbeat(FrontState &State, GossipState &Gossip,
                         FleetDemand &Demand,
                         const wire::NodeHeartbeat &Heartbeat, TimePoint Now,
                         NodeMessages &Out);
/// Appends summaries of the own zone to the relays of the other zones when they
/// are due and this front is a relay.
void sendZoneSummaries(FrontState &State, GossipState &Gossip, TimePoint Now,
                       NodeMessages &Out);
/// Applies the summary of another zone. A relay that received it from that zone
/// appends copies to the fronts of its own zone.
void handleZoneSummary(FrontState &State, GossipState &Gossip,
                       wire::ZoneSummary Summary, TimePoint Now,
                       NodeMessages &Out);
/// Applies the report of an engine's agent. A report to be passed on is
/// appended to \p Out for the fronts of the own zone. Returns false when a
/// newer report is known.
bool handleEngineReport(FrontState &State, const wire::EngineReport &Report,
                        TimePoint Now, NodeMessages &Out);
/// Adds the nodes that another front passed on.
void applyRosterUpdate(FrontState &State, const wire::RosterUpdate &Update,
                       TimePoint Now);
/// Applies the observations of endpoints that another front made. An update to
/// be passed on is appended to \p Out for the fronts of the own zone.
void handleEndpointUpdate(FrontState &State, const wire::EndpointUpdate &Update,
                          TimePoint Now, NodeMessages &Out);
/// Applies an announcement that an endpoint made to this front. A change is
/// sent to the other fronts at once, a refresh with the next broadcast.
ObservationResult
handleAnnouncement(FrontState &State, GossipState &Gossip,
                   const wire::EndpointObservation &Observation, TimePoint Now,
                   NodeMessages &Out);
/// Sends the table in force, if there is one, to \p Address.
void sendTable(const FrontState &State, const std::string &Address,
               NodeMessages &Out);
/// Sends a new table to the fronts that are not voters and were heard from
/// recently: they do not receive it through the replicated log.
void pushTable(const FrontState &State, TimePoint Now, NodeMessages &Out);
/// Sends the evacuations, unless there were none, to \p Address.
void sendEvacuations(const FrontState &State, const std::string &Address,
                     TimePoint Now, NodeMessages &Out);
/// Sends the evacuations to the fronts that have not reported them and were
/// heard from recently.
void pushEvacuations(const FrontState &State, TimePoint Now, NodeMessages &Out);
/// Replaces the recorded demand of a front, this one included, by that in
/// \p Heartbeat and adds its arrivals to the averages.
void recordFrontDemand(FleetDemand &Demand, const std::string &Front,
                       const wire::NodeHeartbeat &Heartbeat, TimePoint Now);
/// Fills in the demand part of a heartbeat and resets the arrival counters.
void collectOwnDemand(FrontState &State, wire::NodeHeartbeat &Heartbeat,
                      TimePoint Now);

} // namespace sassafras

#endif
