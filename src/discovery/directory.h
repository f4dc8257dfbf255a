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

struct DirectorySettings
{
  core::Duration m_lifetime = std::chrono::seconds(10);
  /// How long a leaving host goes on beyond the lifetime, so that the others
  /// hear of it and callers that keep answers longer are served.
  core::Duration m_leaveMargin = std::chrono::seconds(3);
  uint32_t m_answers = 3;
};

/// Knows which hosts of this system callers may use. Any thread may ask.
class Directory
{
public:
  Directory(kernel::Context& aContext, DirectorySettings aSettings);

  /// Addresses of live hosts of a role, the caller's failure domain first.
  std::vector<core::Endpoint> Addresses(std::string_view aRole,
                                        std::string_view aFailureDomain);
  /// How long callers may use an answer.
  core::Duration Lifetime() const { return m_settings.m_lifetime; }

  /// Leaves the answers, and keeps the process until they have lapsed.
  void StartLeaving();
  bool IsLeaving() const { return m_leaving.load(); }
  uint64_t Answers() const { return m_ticket.load(); }

private:
  std::vector<Candidate> CandidatesOf(std::string_view aRole) const;

  kernel::Context& m_context;
  DirectorySettings m_settings;
  std::shared_ptr<objectstore::Hosts> m_hosts;
  std::shared_ptr<gossip::Gossip> m_gossip;
  std::atomic<uint64_t> m_ticket{ 0 };
  std::atomic<bool> m_leaving{ false };
  kernel::DeadlineTimer m_drainTimer;
  kernel::Shutdown::Hold m_drainHold;
};

} // namespace heatherdeal::discovery
