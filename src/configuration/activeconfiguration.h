#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "configuration/document.h"
#include "kernel/counters.h"
#include "kernel/published.h"

namespace heatherdeal::configuration {

/// Holds the configuration that is in force in this process.
class ActiveConfiguration
{
public:
  using Listener = std::function<void(const Document&)>;

  explicit ActiveConfiguration(kernel::Counters& aCounters);

  /// Returns the document in force; generation 0 if there is none yet. Any
  /// thread.
  std::shared_ptr<const Document> Read() const { return m_document.Read(); }

  /// Sets what later documents must have to be put into force. Control thread
  /// only.
  void Require(const DocumentRequirements& aRequirements)
  {
    m_requirements = aRequirements;
  }

  /// Puts the document in aText into force if it is valid and has a higher
  /// generation. Control thread only.
  void ApplyIfNewer(std::string_view aText);

  /// Calls aListener immediately if a document is in force, and after each
  /// change. Control thread only.
  void Subscribe(Listener aListener);

private:
  kernel::Counters& m_counters;
  DocumentRequirements m_requirements;
  kernel::Published<Document> m_document;
  DocumentIdentity m_currentIdentity;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::configuration
