#include "objectstore/internal/unreadableobjects.h"

#include "kernel/eventlog.h"

namespace heatherdeal::objectstore {

UnreadableObjects::UnreadableObjects(kernel::Context& aContext,
                                     std::string aKind)
  : m_context(aContext)
  , m_kind(std::move(aKind))
{
}

void
UnreadableObjects::Report(const ObjectList& aList)
{
  std::set<std::string_view> unreadable;
  for (const UnreadableObject& object : aList.m_unreadable) {
    unreadable.insert(object.m_name);
    if (!m_reported.insert(object.m_name).second) {
      continue;
    }
    m_context.Metrics().Get("objectstore.unreadable_objects").Add();
    kernel::LogEvent(kernel::LogLevel::Warning,
                     "objectstore",
                     "object-unreadable",
                     { { "kind", m_kind },
                       { "name", object.m_name },
                       { "version", object.m_version } });
  }
  for (const StoredObject& object : aList.m_objects) {
    if (!unreadable.contains(object.m_key.m_name)) {
      m_reported.erase(object.m_key.m_name);
    }
  }
  for (const std::string& name : aList.m_removedNames) {
    m_reported.erase(name);
  }
}

} // namespace heatherdeal::objectstore
