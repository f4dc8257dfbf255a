#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "configuration/document.h"
#include "kernel/counters.h"
#include "kernel/published.h"

namespace heatherdeal::configuration {

/// The configuration in force in this process.
class Active
{
public:
  using Listener = std::function<void(const Document&)>;

  explicit Active(kernel::Counters& aCounters);

  std::shared_ptr<const Document> Read() const { return m_document.Read(); }

  /// Takes an offered text if it is valid and newer. Control thread only.
  void Offer(std::string_view aText);

  /// Calls aListener now, if a document is in force, and after each change;
  /// control thread only.
  void Subscribe(Listener aListener);

private:
  kernel::Counters& m_counters;
  kernel::Published<Document> m_document;
  Identity m_identity;
  std::vector<Listener> m_listeners;
};

} // namespace heatherdeal::configuration
