#include "discovery/directory.h"

namespace heatherdeal::discovery {

Directory::Directory(kernel::Context& aContext, DirectorySettings aSettings)
  : m_context(aContext)
  , m_settings(aSettings)
  , m_hosts(aContext.Get<objectstore::Hosts>())
  , m_gossip(aContext.Get<gossip::Gossip>())
  , m_drainTimer(aContext.Control(), [this] { m_shutdownHold.reset(); })
{
}

std::vector<Candidate>
Directory::CandidatesForRole(std::string_view aRole) const
{
  std::vector<Candidate> candidates;
  const auto hosts = m_hosts->Read();
  for (const objectstore::HostEntry& host : *hosts) {
    if (host.m_service != aRole) {
      continue;
    }
    // Gossip and the state of this process are more recent than the host list.
    const bool isSelf = host.m_name == m_context.Self().m_host;
    const bool isLeaving = host.m_leaving || m_gossip->IsLeaving(host.m_name) ||
                           (isSelf && m_leaving.load());
    const bool isSilent =
      m_gossip->IsEnabled() && !m_gossip->IsRecentlyHeard(host.m_name);
    candidates.push_back(
      { host.m_endpoint, host.m_failureDomain, isLeaving || isSilent });
  }
  return candidates;
}

std::vector<core::Endpoint>
Directory::FindAddresses(std::string_view aRole,
                         std::string_view aFailureDomain)
{
  const std::vector<Candidate> candidates = CandidatesForRole(aRole);
  return ChooseAddresses(candidates,
                         aFailureDomain,
                         m_requestCount.fetch_add(1),
                         m_settings.m_maxAddresses);
}

void
Directory::StartLeaving()
{
  m_leaving.store(true);
  m_shutdownHold = m_context.ProcessShutdown().Acquire();
  // Other hosts return this address until gossip tells them that it leaves.
  // The last of these responses expires a full lifetime later.
  m_drainTimer.Set(kernel::Now() + m_settings.m_leaveMargin +
                   m_settings.m_responseLifetime);
}

} // namespace heatherdeal::discovery
