#pragma once

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::audit {

/// Settings of the audit: the addresses of one deployment's stand-ins, which
/// simulate the external systems around heatherdeal.
struct AuditSettings
{
  std::string m_deployment;
  std::vector<core::Endpoint> m_trainers;
  std::vector<core::Endpoint> m_callers;
  std::vector<core::Endpoint> m_plainServices;
  std::vector<core::Endpoint> m_engines;
  /// Time to wait for the trainers to finish.
  core::Duration m_timeLimit = std::chrono::seconds(50);
};

/// Waits until every trainer is done or the time limit has passed, then checks
/// what the stand-ins observed and prints the result. Returns the exit
/// code: 0 if every guarantee was kept, otherwise 1.
int
RunAudit(const AuditSettings& aSettings);

} // namespace heatherdeal::audit
