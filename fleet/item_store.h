/// \file
/// The fleet's state as a map of versioned items that can list the changes
/// since a version. Used by the control members and for every node's view.
#ifndef SASSAFRAS_FLEET_ITEM_STORE_H
#define SASSAFRAS_FLEET_ITEM_STORE_H

#include "wire/inner.pb.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {

/// Map of items by name with an index by version. Not thread safe.
class ItemStore {
public:
  /// Stores \p Item under its name at \p Version, replacing any earlier one.
  void put(wire::Item Item, uint64_t Version);
  /// Marks the item as deleted at \p Version. Unknown names are ignored.
  void erase(const std::string &Name, uint64_t Version);
  /// Item under \p Name, or null when there is none or it is deleted.
  const wire::Item *find(const std::string &Name) const;
  /// Live items whose names start with \p Prefix, in order of name.
  std::vector<const wire::Item *> list(std::string_view Prefix) const;
  /// Items changed after \p Version, deletions included, by version.
  std::vector<const wire::Item *> since(uint64_t Version) const;
  /// Forgets all deletions but the newest \p Keep.
  void pruneDeletions(size_t Keep);
  /// Oldest version from which a delta can be given; an older view must be
  /// replaced as a whole.
  uint64_t oldestDelta() const { return OldestDelta; }
  void setOldestDelta(uint64_t Version) { OldestDelta = Version; }
  void clear();
  /// Every item, deletions included.
  const std::map<std::string, wire::Item, std::less<>> &all() const {
    return Items;
  }

private:
  std::map<std::string, wire::Item, std::less<>> Items;
  std::set<std::pair<uint64_t, std::string>> ByVersion;
  std::set<std::pair<uint64_t, std::string>> Deletions;
  uint64_t OldestDelta = 0;
};

/// Item names by kind.
std::string rowItemName(const std::string &Row);
std::string keyItemName(const std::string &KeyId);
std::string endpointItemName(const std::string &Endpoint);
std::string replicaItemName(const std::string &Endpoint,
                            const std::string &Row);
std::string claimItemName(const std::string &Digest);
std::string quarantineItemName(const std::string &Digest);
std::string deathItemName(const std::string &Digest);

/// Typed lookups; null when there is no such live item.
const wire::TableRow *findRow(const ItemStore &Items, const std::string &Name);
const wire::Endpoint *findEndpoint(const ItemStore &Items,
                                   const std::string &Name);
const wire::Replica *findReplica(const ItemStore &Items,
                                 const std::string &Endpoint,
                                 const std::string &Row);
/// All live replicas.
std::vector<const wire::Replica *> listReplicas(const ItemStore &Items);
/// Live replicas on \p Endpoint.
std::vector<const wire::Replica *> listReplicasOn(const ItemStore &Items,
                                                  const std::string &Endpoint);
/// All live endpoints.
std::vector<const wire::Endpoint *> listEndpoints(const ItemStore &Items);

} // namespace sassafras

#endif
