#pragma once

#include <span>
#include <string>
#include <vector>

#include "batches/internal/objectnames.h"
#include "gossip/gossip.h"
#include "objectstore/hosts.h"

namespace heatherdeal::batches {

/// The names of the hosts that run batches and were heard recently.
struct OwnerHosts
{
  std::vector<std::string> m_available;
  std::vector<std::string> m_leaving;
};

/// Finds the hosts of the list that may own batches. Inline, because hosts that
/// run no batches link only the gateway to them.
inline OwnerHosts
FindOwnerHosts(std::span<const objectstore::HostEntry> aHosts,
               const gossip::Gossip& aGossip)
{
  OwnerHosts owners;
  for (const objectstore::HostEntry& host : aHosts) {
    if (host.m_service != kHostService ||
        !aGossip.IsRecentlyHeard(host.m_name)) {
      continue;
    }
    (aGossip.IsAvailable(host.m_name) ? owners.m_available : owners.m_leaving)
      .push_back(host.m_name);
  }
  return owners;
}

} // namespace heatherdeal::batches
