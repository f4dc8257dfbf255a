#include "configuration/activeconfiguration.h"

#include "configuration/documentjson.h"
#include "kernel/eventlog.h"

namespace heatherdeal::configuration {

ActiveConfiguration::ActiveConfiguration(kernel::Counters& aCounters)
  : m_counters(aCounters)
{
}

void
ActiveConfiguration::ApplyIfNewer(std::string_view aText)
{
  ParsedDocument parsed = ParseDocument(aText);
  if (parsed.m_errors.empty()) {
    parsed.m_errors =
      ValidateRequirements(parsed.m_document.m_customers, m_requirements);
  }
  if (!parsed.m_errors.empty()) {
    m_counters.Get("configuration.invalid").Add();
    kernel::LogFailure(
      kernel::LogLevel::Error, "configuration", parsed.m_errors.front());
    return;
  }
  const DocumentIdentity offered = IdentifyDocument(parsed.m_document);
  if (!ShouldReplace(m_currentIdentity, offered)) {
    const bool isRegression =
      offered.m_generation < m_currentIdentity.m_generation ||
      HasConflictingContent(m_currentIdentity, offered);
    if (isRegression) {
      m_counters.Get("configuration.regressed").Add();
      kernel::LogFailure(
        kernel::LogLevel::Warning,
        "configuration",
        core::GenerationRegressed{ m_currentIdentity.m_generation,
                                   offered.m_generation });
    }
    return;
  }
  m_currentIdentity = offered;
  m_document.Publish(std::move(parsed.m_document));
  m_counters.Get("configuration.accepted").Add();
  kernel::LogEvent(
    kernel::LogLevel::Info,
    "configuration",
    "in-force",
    { { "generation", offered.m_generation }, { "digest", offered.m_digest } });
  const auto document = Read();
  for (const Listener& listener : m_listeners) {
    listener(*document);
  }
}

void
ActiveConfiguration::Subscribe(Listener aListener)
{
  const auto document = Read();
  if (document->m_generation > 0) {
    aListener(*document);
  }
  m_listeners.push_back(std::move(aListener));
}

} // namespace heatherdeal::configuration
