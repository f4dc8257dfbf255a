#pragma once

#include <string>
#include <vector>

#include "core/ids.h"
#include "core/instant.h"

namespace heatherdeal::audit {

/// Where the stand-ins of one deployment listen.
struct AuditSettings
{
  std::string m_deployment;
  std::vector<core::Endpoint> m_trainers;
  std::vector<core::Endpoint> m_callers;
  std::vector<core::Endpoint> m_plainServices;
  std::vector<core::Endpoint> m_engines;
  core::Duration m_limit = std::chrono::seconds(50);
};

/// Waits until every trainer is done or the limit has passed, then judges.
/// Returns 0 if every promise held.
int
RunAudit(const AuditSettings& aSettings);

} // namespace heatherdeal::audit
