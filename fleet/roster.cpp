#include "fleet/roster.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

namespace {

uint64_t digestEntry(const wire::NodeEntry &Entry) {
  return checksumOf(Entry.name() + '/' + std::to_string(Entry.incarnation()));
}

} // namespace

bool recordNodeHeartbeat(Roster &Roster, const wire::NodeEntry &Entry,
                         TimePoint Now) {
  KnownNode &known = Roster.Nodes[Entry.name()];
  // A node restarted after its host's wall clock was set back has a lower
  // incarnation; it is accepted once the earlier process is out of view.
  if (Entry.incarnation() < known.Entry.incarnation() && isInView(known, Now))
    return false;
  bool isNew = known.Entry.incarnation() != Entry.incarnation();
  known.Entry = Entry;
  known.HeardAt = Now;
  if (isNew)
    known.IsLeaving = false;
  return isNew;
}

bool mergeNode(Roster &Roster, const wire::NodeEntry &Entry,
               const std::string &SelfName, TimePoint Now) {
  if (Entry.name().empty() || Entry.name() == SelfName)
    return false;
  auto it = Roster.Nodes.find(Entry.name());
  TimePoint heardAt = Now - Millis(Entry.heard_ago_ms());
  if (it != Roster.Nodes.end()) {
    if (Entry.incarnation() <= it->second.Entry.incarnation()) {
      if (Entry.incarnation() == it->second.Entry.incarnation())
        it->second.HeardAt = std::max(it->second.HeardAt, heardAt);
      return false;
    }
    it->second = {Entry, heardAt, false};
    return true;
  }
  Roster.Nodes[Entry.name()] = {Entry, heardAt, false};
  return true;
}

void expireNodes(Roster &Roster, TimePoint Now) {
  std::erase_if(Roster.Nodes, [&](const auto &it) {
    return Now - it.second.HeardAt > NodeRetention;
  });
}

bool isInView(const KnownNode &Node, TimePoint Now) {
  return Now - Node.HeardAt < NodeTimeout;
}

size_t countInView(const Roster &Roster, wire::NodeKind Kind, TimePoint Now) {
  size_t n = 0;
  for (const auto &[name, it] : Roster.Nodes)
    n += it.Entry.kind() == Kind && isInView(it, Now);
  return n;
}

uint64_t digestRoster(const Roster &Roster, TimePoint Now) {
  uint64_t digest = 0;
  for (const auto &[name, it] : Roster.Nodes)
    if (isInView(it, Now))
      digest += digestEntry(it.Entry);
  return digest;
}

uint64_t digestRoster(const Roster &Roster, const wire::NodeEntry &Self,
                      TimePoint Now) {
  return digestEntry(Self) + digestRoster(Roster, Now);
}

wire::RosterUpdate makeRosterUpdate(const Roster &Roster,
                                    const wire::NodeEntry &Self,
                                    TimePoint Now) {
  wire::RosterUpdate out;
  *out.add_nodes() = Self;
  for (const auto &[name, it] : Roster.Nodes) {
    if (!isInView(it, Now))
      continue;
    wire::NodeEntry &entry = *out.add_nodes();
    entry = it.Entry;
    entry.set_heard_ago_ms(toMillis(Now - it.HeardAt));
  }
  return out;
}

wire::RosterUpdate makeRosterRefresh(const Roster &Roster,
                                     const wire::NodeEntry &Self,
                                     TimePoint Now) {
  std::map<std::string, uint32_t> heardAgo{{Self.name(), 0}};
  for (const auto &[name, it] : Roster.Nodes)
    if (isInView(it, Now))
      heardAgo[name] = static_cast<uint32_t>(toMillis(Now - it.HeardAt));
  wire::RosterUpdate out;
  for (const auto &[name, ms] : heardAgo)
    out.add_heard_ago_ms(ms);
  return out;
}

void refreshNodes(Roster &Roster, const wire::RosterUpdate &Refresh,
                  TimePoint Now) {
  std::vector<KnownNode *> nodes;
  for (auto &[name, it] : Roster.Nodes)
    if (isInView(it, Now))
      nodes.push_back(&it);
  if (nodes.size() != static_cast<size_t>(Refresh.heard_ago_ms_size()))
    return;
  for (size_t i = 0; i < nodes.size(); ++i)
    nodes[i]->HeardAt =
        std::max(nodes[i]->HeardAt,
                 Now - Millis(Refresh.heard_ago_ms(static_cast<int>(i))));
}

} // namespace sassafras
