#pragma once

#include <atomic>
#include <memory>
#include <string_view>
#include <vector>

#include "discovery/addresses.h"
#include "gossip/gossip.h"
#include "kernel/context.h"
#include "kernel/deadlinetimer.h"
#include "objectstore/hosts.h"

namespace heatherdeal::discovery {

/// Settings of the addresses endpoint.
struct DirectorySettings
{
  /// How long callers may cache a response.
  core::Duration m_responseLifetime = std::chrono::seconds(10);
  /// How long a leaving host keeps running beyond the lifetime. This covers
  /// the time until other hosts learn that it leaves, and callers that cache
  /// responses for too long.
  core::Duration m_leaveMargin = std::chrono::seconds(3);
  /// Maximum number of addresses in a response.
  uint32_t m_maxAddresses = 3;
};

/// Selects the hosts of this system that callers may use, from the host list
/// and from gossip. All functions but StartLeaving may be called on any thread.
class Directory
{
public:
  Directory(kernel::Context& aContext, DirectorySettings aSettings);

  /// Returns addresses of available hosts of a role. Hosts in the caller's
  /// failure domain come first.
  std::vector<core::Endpoint> FindAddresses(std::string_view aRole,
                                            std::string_view aFailureDomain);
  /// Returns how long callers may cache a response.
  core::Duration ResponseLifetime() const
  {
    return m_settings.m_responseLifetime;
  }

  /// Excludes this host from responses and keeps the process running until
  /// responses that contain its address have expired. Control thread only.
  void StartLeaving();
  /// Returns true once StartLeaving has been called.
  bool IsLeaving() const { return m_leaving.load(); }
  /// Returns the number of requests served.
  uint64_t RequestCount() const { return m_requestCount.load(); }

private:
  /// Returns all hosts of a role. Leaving and suspected hosts are marked as
  /// leaving.
  std::vector<Candidate> CandidatesForRole(std::string_view aRole) const;

  kernel::Context& m_context;
  DirectorySettings m_settings;
  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::atomic<uint64_t> m_requestCount{ 0 };
  std::atomic<bool> m_leaving{ false };
  kernel::DeadlineTimer m_drainTimer;
  kernel::Shutdown::Hold m_shutdownHold;
};

} // namespace heatherdeal::discovery
